import { ByteBlocks } from './byteBlocks.js';

/**
 * Collects bytes that arrive in pieces, at the cost of their size whatever their number. A single piece is kept and
 * returned as it is; others are copied, as each would hold on to the whole buffer that it was read into.
 */
export class ByteCollector {
  private first: Buffer | undefined;

  private readonly blocks = new ByteBlocks();

  /** Number of collected bytes. */
  get length(): number {
    return this.first?.length ?? this.blocks.length;
  }

  /** Memory that is held, in bytes. */
  get heldBytes(): number {
    return this.first?.length ?? this.blocks.heldBytes;
  }

  push(bytes: Buffer): void {
    if (this.length === 0) {
      this.first = bytes;
      return;
    }
    if (this.first) {
      this.blocks.push(this.first);
      this.first = undefined;
    }
    this.blocks.push(bytes);
  }

  /** Returns all bytes and drops them. */
  take(): Buffer {
    const bytes = this.first ?? this.blocks.take();
    this.first = undefined;
    return bytes;
  }

  clear(): void {
    this.first = undefined;
    this.blocks.clear();
  }
}

/** Collects all bytes of a source. Throws the error of `createError`, which ends the source, for too many. */
export async function collectBytes(
  source: AsyncIterable<Buffer>,
  maxBytes: number,
  createError: () => Error,
): Promise<Buffer> {
  const collector = new ByteCollector();
  for await (const bytes of source) {
    if (collector.length + bytes.length > maxBytes) throw createError();
    collector.push(bytes);
  }
  return collector.take();
}
