/** Lets the share of work of a data centre grow after its return, instead of all at once. */
export class SlowStart {
  private readonly out = new Set<string>();

  private readonly returnedAt = new Map<string, number>();

  constructor(private readonly rampMs: number) {}

  /** Notes whether a data centre is in; returns true when it has just come back. */
  update(dataCentre: string, isIn: boolean, now: number): boolean {
    if (!isIn) {
      this.out.add(dataCentre);
      return false;
    }
    if (!this.out.delete(dataCentre)) return false;
    this.returnedAt.set(dataCentre, now);
    return true;
  }

  /** The share of its work that a data centre gets now, from 0 to 1. */
  share(dataCentre: string, now: number): number {
    const since = this.returnedAt.get(dataCentre);
    if (since === undefined) return 1;
    const share = (now - since) / this.rampMs;
    if (share < 1) return Math.max(0, share);
    this.returnedAt.delete(dataCentre);
    return 1;
  }
}
