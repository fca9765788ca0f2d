const emptyBuffer: Buffer = Buffer.alloc(0);
/** Size of a block that small pieces are copied to, in bytes. */
const blockBytes = 65_536;

/**
 * Collects bytes that arrive in pieces. Pieces after the first are copied: a small piece that is kept as
 * it is holds on to the whole buffer that it was read into.
 */
export class ByteCollector {
  private first: Buffer | undefined;

  private blocks: Buffer[] = [];

  /** Unused bytes at the end of the last block. */
  private free = 0;

  private size = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  push(bytes: Buffer): void {
    this.size += bytes.length;
    if (this.size === bytes.length) {
      this.first = bytes;
      return;
    }
    if (this.first) {
      this.copy(this.first);
      this.first = undefined;
    }
    this.copy(bytes);
  }

  /** Returns all bytes. */
  concat(): Buffer {
    return this.first ?? Buffer.concat(this.blocks, this.size);
  }

  /** The last `count` bytes, or all if there are fewer. */
  tail(count: number): Buffer {
    if (this.first) return this.first.subarray(-count);
    const used = blockBytes - this.free;
    const last = this.blocks.at(-1)?.subarray(Math.max(0, used - count), used) ?? emptyBuffer;
    const before = this.blocks.at(-2);
    if (last.length >= count || !before) return last;
    return Buffer.concat([before.subarray(last.length - count), last]);
  }

  clear(): void {
    this.first = undefined;
    this.blocks = [];
    this.free = 0;
    this.size = 0;
  }

  private copy(bytes: Buffer): void {
    for (let at = 0; at < bytes.length;) {
      if (this.free === 0) {
        this.blocks.push(Buffer.allocUnsafeSlow(blockBytes));
        this.free = blockBytes;
      }
      const copied = bytes.copy(this.blocks.at(-1)!, blockBytes - this.free, at);
      this.free -= copied;
      at += copied;
    }
  }
}
