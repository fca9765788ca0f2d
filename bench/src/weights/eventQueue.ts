interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Discrete-event queue in virtual time; events with equal times run in the order of scheduling. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];

  private scheduledCount = 0;

  private time = 0;

  get now(): number {
    return this.time;
  }

  at(time: number, run: () => void): void {
    const { heap } = this;
    const entry = { at: Math.max(time, this.time), order: this.scheduledCount, run };
    this.scheduledCount += 1;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!EventQueue.isBefore(entry, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  after(delay: number, run: () => void): void {
    this.at(this.time + delay, run);
  }

  /** Runs events until the queue is empty or `isDone` returns true. */
  run(isDone: () => boolean): void {
    while (this.heap.length > 0 && !isDone()) {
      const next = this.pop();
      this.time = next.at;
      next.run();
    }
  }

  private pop(): ScheduledEvent {
    const { heap } = this;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && EventQueue.isBefore(heap[right]!, heap[child]!)) child = right;
      if (!EventQueue.isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return top;
  }

  private static isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }
}
