import { ResponseTooLarge } from '@laburnumstream/common';
import type { ResponseMemory } from '@laburnumstream/decisions';

/** What one response holds of the memory for responses. */
export class ResponseHold {
  private held = 0;

  constructor(private readonly memory: ResponseMemory) {}

  /** Sets the number of bytes that are held; throws `ResponseTooLarge` if they are too many. */
  resize(bytes: number): void {
    if (!this.tryResize(bytes))
      throw new ResponseTooLarge(`${bytes} bytes of an incomplete response`);
  }

  /** Sets the number of bytes that are held; changes nothing and returns false if they are too many. */
  tryResize(bytes: number): boolean {
    const added = bytes - this.held;
    if (added > 0 && !this.memory.reserve(this.held, added)) return false;
    if (added < 0) this.memory.release(-added);
    this.held = bytes;
    return true;
  }

  release(): void {
    this.resize(0);
  }
}
