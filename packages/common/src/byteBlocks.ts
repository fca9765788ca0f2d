/** Size of the first block, in bytes. */
const minBlockBytes = 1_024;
/** Largest size of a block, in bytes. */
const maxBlockBytes = 65_536;

/**
 * Collects bytes in few blocks. What arrives is copied: a piece of a few bytes that is kept as it is costs some
 * hundred bytes, and a slice of a larger buffer keeps all of it in memory.
 */
export class ByteBlocks {
  private readonly blocks: Buffer[] = [];

  /** Unused bytes at the end of the last block. */
  private free = 0;

  private size = 0;

  private allocated = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /** Memory that is held, in bytes. */
  get heldBytes(): number {
    return this.allocated;
  }

  /** Appends a copy of some bytes. */
  push(bytes: Buffer): void {
    for (let at = 0; at < bytes.length;) {
      if (this.free === 0) this.addBlock(bytes.length - at);
      const block = this.blocks.at(-1)!;
      const copied = bytes.copy(block, block.length - this.free, at);
      this.free -= copied;
      at += copied;
    }
    this.size += bytes.length;
  }

  /** Returns all bytes and releases the blocks. */
  take(): Buffer {
    const [first] = this.blocks;
    const whole =
      this.blocks.length === 1
        ? first!.subarray(0, this.size)
        : Buffer.concat(this.blocks, this.size);
    this.clear();
    return whole;
  }

  /** Returns a copy of all bytes and drops them; keeps the first block for those that follow. */
  takeCopy(): Buffer {
    const copy = Buffer.concat(this.blocks, this.size);
    this.blocks.length = Math.min(1, this.blocks.length);
    this.size = 0;
    this.allocated = this.blocks[0]?.length ?? 0;
    this.free = this.allocated;
    return copy;
  }

  /** Drops all bytes and releases the blocks. */
  clear(): void {
    this.blocks.length = 0;
    this.free = 0;
    this.size = 0;
    this.allocated = 0;
  }

  /** Blocks grow with the content, so that many small ones hold little. */
  private addBlock(neededBytes: number): void {
    const bytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.size, neededBytes));
    this.blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.free = bytes;
    this.allocated += bytes;
  }
}
