/** A request that waits for capacity at an endpoint. */
export interface QueueItem {
  readonly workspace: string;
  readonly units: number;
}

/** Queued and running work of one workspace. */
interface Flow<Item extends QueueItem> {
  readonly workspace: string;
  weight: number;
  readonly items: Item[];
  queuedUnits: number;
  runningUnits: number;
  /** Virtual time at which the workspace's next work starts. */
  startTag: number;
}

/** The capacity of an endpoint at the time of a dispatch. */
export interface EndpointCapacity {
  readonly limit: number;
  readonly inFlight: number;
  readonly fits: (units: number) => boolean;
}

/** Priorities sent to the engine; higher ones run first. */
export const Priority = { heavy: 0, fair: 1, light: 2 } as const;

/** One of the values of {@link Priority}. */
export type Priority = (typeof Priority)[keyof typeof Priority];

/** Share of the limit that is reserved for workspaces with little running work. */
const reserveShare = 1 / 8;

/** Starts for which the reserve is kept after a light workspace's start, as a multiple of the limit. */
const reservedRounds = 4;

function reservedUnits(limit: number): number {
  return Math.floor(limit * reserveShare);
}

/** Maximum running units with which a workspace may still use the reserve. */
function maxLightUnits(limit: number): number {
  return Math.ceil(reservedUnits(limit) / 2);
}

/** Queued and running work of a workspace, relative to its weight. */
function weightedLoad({ queuedUnits, runningUnits, weight }: Flow<QueueItem>): number {
  return (queuedUnits + runningUnits) / weight;
}

/** Queued units of a workspace whose start tags are not later than `tag`. */
function unitsStartingBy(tag: number, { items, startTag, weight }: Flow<QueueItem>): number {
  let queued = 0;
  for (const { units } of items) {
    if (startTag + queued / weight > tag) break;
    queued += units;
  }
  return queued;
}

/**
 * Start-time fair queueing with one queue per workspace: flows are served by weighted virtual time,
 * based on estimated work and corrected once the real work is known. A reserve is kept free of
 * workspaces with much running work.
 */
export class FairQueue<Item extends QueueItem> {
  private readonly flows = new Map<string, Flow<Item>>();

  private virtualTime = 0;

  private queued = 0;

  /** Starts for which the reserve is still kept; without light workspaces all capacity is used. */
  private reservedStarts = 0;

  constructor(private readonly getWeight: (workspace: string) => number) {}

  get length(): number {
    return this.queued;
  }

  /** Queued work units of a workspace. */
  queuedUnits(workspace: string): number {
    return this.flows.get(workspace)?.queuedUnits ?? 0;
  }

  /** Share of the endpoint, from 0 to 1, that a workspace has while it has queued work. */
  share(workspace: string): number {
    let total = 0;
    this.flows.forEach((flow) => {
      const isActive = flow.items.length > 0 || flow.runningUnits > 0;
      if (isActive && flow.workspace !== workspace) total += flow.weight;
    });
    const own = this.getWeight(workspace);
    return own / (own + total);
  }

  /**
   * Units expected to start before the newest item of its workspace: those before it in its own
   * queue, at the workspace's share, or those that precede it by start tags if that is more.
   */
  unitsBefore({ workspace, units }: Item): number {
    const flow = this.getFlow(workspace);
    const own = flow.queuedUnits - units;
    const tag = flow.startTag + own / flow.weight;
    let preceding = own;
    this.flows.forEach((other) => {
      if (other !== flow) preceding += unitsStartingBy(tag, other);
    });
    return Math.max(own / this.share(workspace), preceding);
  }

  enqueue(item: Item): void {
    const flow = this.getFlow(item.workspace);
    flow.weight = this.getWeight(item.workspace);
    if (flow.items.length === 0) flow.startTag = Math.max(flow.startTag, this.virtualTime);
    flow.items.push(item);
    flow.queuedUnits += item.units;
    this.queued += 1;
  }

  /** Removes and returns the next item that may start, if any, without starting it. */
  dequeue(capacity: EndpointCapacity): Item | undefined {
    const flow = this.selectFlow(capacity);
    const item = flow?.items[0];
    if (item) this.remove(item);
    return item;
  }

  /** Removes an item; returns false when it is not queued. */
  remove(item: Item): boolean {
    const flow = this.flows.get(item.workspace);
    const index = flow?.items.indexOf(item) ?? -1;
    if (!flow || index < 0) return false;
    flow.items.splice(index, 1);
    flow.queuedUnits -= item.units;
    this.queued -= 1;
    this.removeIdle(flow);
    return true;
  }

  /** Removes and returns the newest item of the workspace with the most load; a tie evicts `newcomer`. */
  evict(newcomer: Item): Item {
    let heaviest = this.getFlow(newcomer.workspace);
    this.flows.forEach((flow) => {
      const isHeavier = weightedLoad(flow) > weightedLoad(heaviest);
      if (flow.items.length > 0 && isHeavier) heaviest = flow;
    });
    const item = heaviest.items.at(-1) ?? newcomer;
    this.remove(item);
    return item;
  }

  /** Starts work and returns its priority for the engine. */
  start(workspace: string, units: number, limit: number): Priority {
    const flow = this.getFlow(workspace);
    const tag = Math.max(flow.startTag, this.virtualTime);
    this.virtualTime = tag;
    flow.startTag = tag + units / flow.weight;
    flow.runningUnits += units;
    this.reservedStarts = Math.max(0, this.reservedStarts - 1);
    if (flow.runningUnits <= Math.max(1, maxLightUnits(limit))) {
      this.reservedStarts = limit * reservedRounds;
      return Priority.light;
    }
    return flow.runningUnits <= limit * this.share(workspace) ? Priority.fair : Priority.heavy;
  }

  /** Ends work and corrects the virtual time by the difference between real and estimated units. */
  finish(workspace: string, units: number, realUnits: number): void {
    const flow = this.getFlow(workspace);
    flow.runningUnits -= units;
    flow.startTag += (realUnits - units) / flow.weight;
    this.removeIdle(flow);
  }

  private getFlow(workspace: string): Flow<Item> {
    let flow = this.flows.get(workspace);
    if (!flow) {
      const startTag = this.virtualTime;
      const weight = this.getWeight(workspace);
      flow = { workspace, weight, items: [], queuedUnits: 0, runningUnits: 0, startTag };
      this.flows.set(workspace, flow);
    }
    return flow;
  }

  /** Removes a flow without work whose start tag is not ahead of the virtual time. */
  private removeIdle(flow: Flow<Item>): void {
    const isIdle = flow.items.length === 0 && flow.runningUnits <= 0;
    if (isIdle && flow.startTag <= this.virtualTime) this.flows.delete(flow.workspace);
  }

  /**
   * The first flow by virtual time whose head may start. Behind a blocked head only workspaces with
   * little running work may start. Nothing may start behind work that needs the whole endpoint, as
   * smaller work would starve it.
   */
  private selectFlow(capacity: EndpointCapacity): Flow<Item> | undefined {
    if (this.queued === 0) return undefined;
    const flows = [...this.flows.values()].filter(({ items }) => items.length > 0);
    flows.sort((a, b) => a.startTag - b.startTag);
    const reserve = this.reservedStarts > 0 ? reservedUnits(capacity.limit) : 0;
    let isBlocked = false;
    for (const flow of flows) {
      const { units } = flow.items[0]!;
      const isLight = flow.runningUnits + units <= maxLightUnits(capacity.limit);
      const isReserved =
        capacity.inFlight > 0 && capacity.inFlight + units > capacity.limit - reserve;
      if (capacity.fits(units) && (isLight || !(isBlocked || isReserved))) return flow;
      if (units > capacity.limit) return undefined;
      isBlocked = true;
    }
    return undefined;
  }
}
