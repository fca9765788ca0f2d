/** A soak run that has failed before. */
export interface Regression {
  /** Arguments of the soak, as on the command line. */
  readonly commandLine: string;
  /** Cause of the failure. */
  readonly cause: string;
}

/** Soak runs that failed, with their known causes. */
export const regressions: readonly Regression[] = [
  {
    commandLine: '--seed 310 --minutes 0.4 --processes 4',
    cause:
      'timeouts of calls to a silent engine were garbage-collected and never fired; its agent hung',
  },
  {
    commandLine: '--seed 322 --minutes 0.4 --processes 6',
    cause:
      'a resumable stream was abandoned after 700 ms of silence, and no other engine resumed it; the soak could not yet detect its own stalls',
  },
  {
    commandLine: '--seed 325 --minutes 0.4 --processes 4',
    cause:
      'as seed 322; the second of two engines was excluded after its connection had closed before the request was sent',
  },
];
