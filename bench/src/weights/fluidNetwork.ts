import type { EventQueue } from './eventQueue.js';

/** A transfer over a sequence of links. */
interface Flow {
  readonly links: readonly string[];
  remainingBytes: number;
  rate: number;
  readonly onDone: () => void;
}

/** Fluid model of links whose flows share them evenly; a flow runs at its smallest link share. */
export class FluidNetwork {
  private readonly flows = new Set<Flow>();

  private readonly flowCounts = new Map<string, number>();

  private updatedAt = 0;

  private allocation = 0;

  constructor(
    private readonly events: EventQueue,
    /** Link rates in bytes per millisecond; links that are not listed are unlimited. */
    private readonly rates: ReadonlyMap<string, number>,
  ) {}

  /** Starts a transfer; returns a function that cancels it. */
  send(bytes: number, links: readonly string[], onDone: () => void): () => void {
    const flow = { links, remainingBytes: bytes, rate: 0, onDone };
    this.advance();
    this.flows.add(flow);
    links.forEach((link) => this.flowCounts.set(link, (this.flowCounts.get(link) ?? 0) + 1));
    this.allocateRates();
    return () => {
      if (!this.flows.has(flow)) return;
      this.advance();
      this.remove(flow);
      this.allocateRates();
    };
  }

  private remove(flow: Flow): void {
    this.flows.delete(flow);
    flow.links.forEach((link) => this.flowCounts.set(link, this.flowCounts.get(link)! - 1));
  }

  private advance(): void {
    const elapsedMs = this.events.now - this.updatedAt;
    this.updatedAt = this.events.now;
    this.flows.forEach((flow) =>
      Object.assign(flow, { remainingBytes: flow.remainingBytes - flow.rate * elapsedMs }),
    );
  }

  private allocateRates(): void {
    let nextMs = Infinity;
    this.flows.forEach((flow) => {
      const shares = flow.links.map(
        (link) => (this.rates.get(link) ?? Infinity) / this.flowCounts.get(link)!,
      );
      Object.assign(flow, { rate: Math.min(...shares) });
      nextMs = Math.min(nextMs, Math.max(0, flow.remainingBytes) / flow.rate);
    });
    this.allocation += 1;
    const { allocation } = this;
    if (nextMs < Infinity) this.events.after(nextMs, () => this.completeFlows(allocation));
  }

  private completeFlows(allocation: number): void {
    if (allocation !== this.allocation) return;
    this.advance();
    const ended = [...this.flows].filter(({ remainingBytes }) => remainingBytes <= 1e-6);
    ended.forEach((flow) => this.remove(flow));
    this.allocateRates();
    ended.forEach(({ onDone }) => onDone());
  }
}
