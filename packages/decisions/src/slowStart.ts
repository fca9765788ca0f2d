/** Slow start of data centres: ramps up the share of work of one that is back in use. */
export class SlowStart {
  private readonly out = new Set<string>();

  private readonly returnedAt = new Map<string, number>();

  constructor(private readonly rampMs: number) {}

  /** Updates whether a data centre is in use; returns true when it has just returned. */
  update(dataCentre: string, isIn: boolean, now: number): boolean {
    if (!isIn) {
      this.out.add(dataCentre);
      return false;
    }
    if (!this.out.delete(dataCentre)) return false;
    this.returnedAt.set(dataCentre, now);
    return true;
  }

  /** Share of its regular work that a data centre gets now, from 0 to 1. */
  share(dataCentre: string, now: number): number {
    const since = this.returnedAt.get(dataCentre);
    if (since === undefined) return 1;
    const share = (now - since) / this.rampMs;
    if (share < 1) return Math.max(0, share);
    this.returnedAt.delete(dataCentre);
    return 1;
  }
}
