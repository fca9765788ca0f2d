/** What a member does after an entry has told the newest incarnation that it knows. */
export const IncarnationStatus = {
  /** The own incarnation is the newest. */
  current: 'current',
  /** The wall clock went back over a restart: start anew above the known one. */
  raise: 'raise',
  /** Another process took this member's place while this one stood still: take no work. */
  superseded: 'superseded',
} as const;

/** One of the values of {@link IncarnationStatus}. */
export type IncarnationStatus = (typeof IncarnationStatus)[keyof typeof IncarnationStatus];

/** Judges the answer to a heartbeat; `accepted` tells whether the own incarnation ever was. */
export function checkIncarnation(own: number, known: number, accepted: boolean): IncarnationStatus {
  if (known <= own) return IncarnationStatus.current;
  return accepted ? IncarnationStatus.superseded : IncarnationStatus.raise;
}
