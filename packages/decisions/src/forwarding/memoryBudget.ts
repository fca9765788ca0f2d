/** Share of the budget from which reading from callers pauses; the rest is for responses and what is under way. */
const pauseShare = 0.6;
/** Share of the budget down to which memory is freed under shortage, so that a search frees much at once. */
const freedShare = 0.4;

/** Bytes that a process holds for callers and endpoints together. */
export class MemoryBudget {
  private used = 0;

  private release: (() => void) | undefined;

  constructor(readonly maxBytes: number) {}

  /** Bytes that are held. */
  get usedBytes(): number {
    return this.used;
  }

  /** Whether nothing more is to be read from callers for now. */
  get isShort(): boolean {
    return this.used > this.maxBytes * pauseShare;
  }

  /** Whether more is held than the budget allows. */
  get isExceeded(): boolean {
    return this.used > this.maxBytes;
  }

  /** Bytes that are to be released under shortage. */
  get excessBytes(): number {
    return Math.max(0, this.used - this.maxBytes * freedShare);
  }

  /** Sets the function that is called when the budget has too little room; it may release what callers hold. */
  onShortage(release: () => void): void {
    this.release = release;
  }

  /** Whether a number of bytes fits; releases what callers hold if it would not. */
  hasRoom(bytes: number): boolean {
    if (this.used + bytes > this.maxBytes) this.release?.();
    return this.used + bytes <= this.maxBytes;
  }

  /** Adds held bytes, whether they fit or not. */
  add(bytes: number): void {
    this.used += bytes;
  }

  /** Removes bytes that are no longer held. */
  remove(bytes: number): void {
    this.used -= bytes;
  }
}
