/** Factor on a workspace's count for each request that is served after it. */
const servedDecay = 0.98;
const forgetBelow = 0.01;

/** A request that waits for an endpoint. */
export interface WaitingRequest {
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
}

/**
 * Requests that wait for one service. The most urgent go first; among equals the workspace that was
 * served least for its recent requests, then the one that came first.
 */
export class WaitingLine<Item extends WaitingRequest> {
  private readonly items: Item[] = [];

  /** Requests of each workspace that were served lately; decays with each one that is served. */
  private readonly served = new Map<string, number>();

  get length(): number {
    return this.items.length;
  }

  add(item: Item): void {
    this.items.push(item);
  }

  /** Takes a request out; returns whether it was there. */
  remove(item: Item): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) return false;
    this.items.splice(index, 1);
    return true;
  }

  /** The waiting requests in the order in which they are to be served. */
  ordered(): Item[] {
    if (this.items.length < 2) return [...this.items];
    return [...this.items].sort(
      (a, b) =>
        a.priority - b.priority ||
        this.servedOf(a.workspace) - this.servedOf(b.workspace) ||
        a.arrivedAt - b.arrivedAt,
    );
  }

  /** Counts a request that was served. */
  countServed(workspace: string): void {
    this.served.forEach((count, name) => {
      const next = count * servedDecay;
      if (next < forgetBelow) this.served.delete(name);
      else this.served.set(name, next);
    });
    this.served.set(workspace, this.servedOf(workspace) + 1);
  }

  private servedOf(workspace: string): number {
    return this.served.get(workspace) ?? 0;
  }
}
