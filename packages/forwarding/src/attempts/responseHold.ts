import { ResponseTooLarge } from '@laburnumstream/common';
import type { ResponseMemory } from '@laburnumstream/decisions';

/** What one response holds of the memory for responses. */
export class ResponseHold {
  private held = 0;

  constructor(private readonly memory: ResponseMemory) {}

  /** Sets the number of bytes that are held; throws `ResponseTooLarge` if they are too many. */
  resize(bytes: number): void {
    const added = bytes - this.held;
    if (added > 0 && !this.memory.reserve(this.held, added))
      throw new ResponseTooLarge(`${bytes} bytes of an incomplete response`);
    if (added < 0) this.memory.release(-added);
    this.held = bytes;
  }

  release(): void {
    this.resize(0);
  }
}
