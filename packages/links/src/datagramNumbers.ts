const maxUint32 = 4_294_967_295;

/** Returns the number nearest to a measure that a datagram can carry. */
export function toDatagramNumber(value: number): number {
  if (Number.isNaN(value)) return 0;
  return Math.round(Math.min(maxUint32, Math.max(0, value)));
}
