/** Unbounded queue with one producer and one consumer, which iterates over it. */
export class AsyncQueue<Item> implements AsyncIterable<Item> {
  private items: Item[] = [];

  private head = 0;

  private ended = false;

  private failure: { readonly error: unknown } | undefined;

  private wake: (() => void) | undefined;

  /** Number of items that have not been consumed yet. */
  get length(): number {
    return this.items.length - this.head;
  }

  push(item: Item): void {
    if (this.ended) return;
    this.items.push(item);
    this.wake?.();
  }

  /** Closes the queue: the iteration ends after the items already queued. */
  end(): void {
    this.ended = true;
    this.wake?.();
  }

  /** Closes the queue: the iteration throws `error` after the items already queued. */
  fail(error: unknown): void {
    if (!this.ended) this.failure = { error };
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Item> {
    while (true) {
      if (this.head < this.items.length) yield this.shift();
      else if (this.ended) break;
      else await this.waitForItem();
    }
    if (this.failure) throw this.failure.error;
  }

  private shift(): Item {
    const item = this.items[this.head]!;
    this.head += 1;
    if (this.head === this.items.length) {
      this.items = [];
      this.head = 0;
    }
    return item;
  }

  private waitForItem(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }
}
