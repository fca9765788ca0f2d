/** Selects the peers that receive a message in each round, so that each of them has its turn. */
export class PeerRotation {
  private roundStart = 0;

  constructor(
    private readonly self: string,
    /** Maximum number of peers in one round. */
    private readonly maxPeers: number,
  ) {}

  /** Returns the peers of the next round; members start at different peers. */
  next(names: readonly string[]): string[] {
    const others = names.filter((name) => name !== this.self).sort();
    const count = Math.min(this.maxPeers, others.length);
    const firstAfterSelf = others.filter((name) => name < this.self).length;
    const first = firstAfterSelf + this.roundStart;
    this.roundStart += count;
    return Array.from({ length: count }, (_, index) => others[(first + index) % others.length]!);
  }
}
