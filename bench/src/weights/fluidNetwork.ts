import type { EventQueue } from './eventQueue.js';

/** Bytes on their way over several links at once. */
interface Flow {
  readonly links: readonly string[];
  left: number;
  rate: number;
  readonly done: () => void;
}

/** Links in virtual time that their flows share evenly; a flow is as fast as its narrowest share. */
export class FluidNetwork {
  private readonly flows = new Set<Flow>();

  private readonly counts = new Map<string, number>();

  private updatedAt = 0;

  private turn = 0;

  constructor(
    private readonly events: EventQueue,
    /** Rates of the links in bytes a millisecond; links that are not listed have no limit. */
    private readonly rates: ReadonlyMap<string, number>,
  ) {}

  /** Sends bytes over links; returns a function that ends it before. */
  send(bytes: number, links: readonly string[], done: () => void): () => void {
    const flow = { links, left: bytes, rate: 0, done };
    this.advance();
    this.flows.add(flow);
    links.forEach((link) => this.counts.set(link, (this.counts.get(link) ?? 0) + 1));
    this.share();
    return () => {
      if (!this.flows.has(flow)) return;
      this.advance();
      this.remove(flow);
      this.share();
    };
  }

  private remove(flow: Flow): void {
    this.flows.delete(flow);
    flow.links.forEach((link) => this.counts.set(link, this.counts.get(link)! - 1));
  }

  private advance(): void {
    const passed = this.events.now - this.updatedAt;
    this.updatedAt = this.events.now;
    this.flows.forEach((flow) => Object.assign(flow, { left: flow.left - flow.rate * passed }));
  }

  private share(): void {
    let nextMs = Infinity;
    this.flows.forEach((flow) => {
      const shares = flow.links.map(
        (link) => (this.rates.get(link) ?? Infinity) / this.counts.get(link)!,
      );
      Object.assign(flow, { rate: Math.min(...shares) });
      nextMs = Math.min(nextMs, Math.max(0, flow.left) / flow.rate);
    });
    this.turn += 1;
    const { turn } = this;
    if (nextMs < Infinity) this.events.after(nextMs, () => this.finish(turn));
  }

  private finish(turn: number): void {
    if (turn !== this.turn) return;
    this.advance();
    const ended = [...this.flows].filter(({ left }) => left <= 1e-6);
    ended.forEach((flow) => this.remove(flow));
    this.share();
    ended.forEach(({ done }) => done());
  }
}
