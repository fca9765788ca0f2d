/** A soak that has failed once. */
export interface Regression {
  /** Arguments of the soak, as on the command line. */
  readonly line: string;
  /** What was found to be wrong. */
  readonly cause: string;
}

/** All soaks that have failed and whose cause was found. */
export const regressions: readonly Regression[] = [
  {
    line: '--seed 310 --minutes 0.4 --processes 4',
    cause:
      'timeouts of calls to a silent engine were collected and never fired; its agent stood still',
  },
];
