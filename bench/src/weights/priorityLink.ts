import type { EventQueue } from './eventQueue.js';

/** A chunk that waits in the queue of a sender's link. */
export interface QueuedChunk {
  readonly priority: number;
  /** False once the receiver no longer waits or the transfer has started. */
  isPending: boolean;
  readonly onTransferred: () => void;
}

/** A sender's link in virtual time: transfers one chunk at a time, lowest priority number first. */
export class PriorityLink {
  private readonly queue: QueuedChunk[] = [];

  private isBusy = false;

  sentChunks = 0;

  constructor(
    private readonly events: EventQueue,
    private readonly chunkMs: number,
  ) {}

  send(chunk: QueuedChunk): void {
    this.queue.push(chunk);
    if (!this.isBusy) this.sendNext();
  }

  private sendNext(): void {
    const chunk = this.dequeue();
    this.isBusy = chunk !== undefined;
    if (!chunk) return;
    chunk.isPending = false;
    this.sentChunks += 1;
    this.events.after(this.chunkMs, () => {
      chunk.onTransferred();
      this.sendNext();
    });
  }

  private dequeue(): QueuedChunk | undefined {
    let next: QueuedChunk | undefined;
    let kept = 0;
    this.queue.forEach((chunk) => {
      if (!chunk.isPending) return;
      this.queue[kept] = chunk;
      kept += 1;
      if (!next || chunk.priority < next.priority) next = chunk;
    });
    this.queue.length = kept;
    if (next) this.queue.splice(this.queue.indexOf(next), 1);
    return next;
  }
}
