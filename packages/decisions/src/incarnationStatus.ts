/** Status of a member's incarnation against the highest one that an entry knows. */
export const IncarnationStatus = {
  /** The member's incarnation is the highest. */
  current: 'current',
  /** The wall clock went back over a restart: continue with an incarnation above the known one. */
  raise: 'raise',
  /** Another process replaced this member while it was paused: accept no more work. */
  superseded: 'superseded',
} as const;

/** One of the values of {@link IncarnationStatus}. */
export type IncarnationStatus = (typeof IncarnationStatus)[keyof typeof IncarnationStatus];

/** Checks a heartbeat's response; `accepted` states whether the own incarnation was ever the highest. */
export function checkIncarnation(own: number, known: number, accepted: boolean): IncarnationStatus {
  if (known <= own) return IncarnationStatus.current;
  return accepted ? IncarnationStatus.superseded : IncarnationStatus.raise;
}
