/** A link in virtual time that transfers chunks at a fixed rate in the order of arrival. */
export class FifoLink {
  private freeAt = 0;

  transferredChunks = 0;

  constructor(private readonly chunkMs: number) {}

  /** Adds a chunk and returns the time at which its transfer is complete. */
  transfer(now: number): number {
    this.freeAt = Math.max(now, this.freeAt + this.chunkMs);
    this.transferredChunks += 1;
    return this.freeAt;
  }
}
