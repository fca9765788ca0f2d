import type { MemoryBudget } from './memoryBudget.js';

/**
 * Memory for responses that are not complete yet. One response may hold as many bytes as are left free
 * beside it: a single one half of the memory, several large ones equal parts. So an endless response ends
 * before the memory is used up, and small ones still find room beside it.
 */
export class ResponseMemory {
  private used = 0;

  constructor(
    private readonly maxBytes: number,
    /** What the process holds for callers and endpoints together. */
    private readonly budget?: MemoryBudget,
  ) {}

  /** Bytes that responses hold. */
  get usedBytes(): number {
    return this.used;
  }

  /** Adds bytes to a response that holds `held` bytes; returns false if it would hold too many. */
  reserve(held: number, bytes: number): boolean {
    if (held + bytes > this.maxBytes - this.used - bytes) return false;
    if (this.budget && !this.budget.hasRoom(bytes)) return false;
    this.used += bytes;
    this.budget?.add(bytes);
    return true;
  }

  /** Releases bytes that a response no longer holds. */
  release(bytes: number): void {
    this.used -= bytes;
    this.budget?.remove(bytes);
  }
}
