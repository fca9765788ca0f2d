/** A request that waits for room at an endpoint. */
export interface QueueItem {
  readonly workspace: string;
  readonly units: number;
}

/** One workspace's waiting and running work. */
interface Flow<Item extends QueueItem> {
  readonly workspace: string;
  weight: number;
  readonly waiters: Item[];
  queuedUnits: number;
  runningUnits: number;
  /** Virtual time at which the workspace's next work starts. */
  startTag: number;
}

/** The room at an endpoint as the queue sees it. */
export interface EndpointCapacity {
  readonly limit: number;
  readonly inFlight: number;
  readonly fits: (units: number) => boolean;
}

/** Priorities towards the engine; a higher one runs first. */
export const Priority = { heavy: 0, fair: 1, light: 2 } as const;

/** One of the values of {@link Priority}. */
export type Priority = (typeof Priority)[keyof typeof Priority];

/** Share of the limit that only workspaces with little running work may use. */
const reserveShare = 1 / 8;

/** Starts, as a multiple of the limit, for which the reserve is held after a small workspace's. */
const reservedRounds = 4;

function reserveOf(limit: number): number {
  return Math.floor(limit * reserveShare);
}

/** Most running units of one workspace that may come out of the reserve. */
function lightUnits(limit: number): number {
  return Math.ceil(reserveOf(limit) / 2);
}

/** Weighted work of a workspace, waiting and running. */
function loadOf({ queuedUnits, runningUnits, weight }: Flow<QueueItem>): number {
  return (queuedUnits + runningUnits) / weight;
}

/**
 * One queue for each workspace, served by weighted virtual time on estimated work (start-time fair
 * queueing) and settled with real work. Workspaces with much running work leave a reserve free.
 */
export class FairQueue<Item extends QueueItem> {
  private readonly flows = new Map<string, Flow<Item>>();

  private virtualTime = 0;

  private waiting = 0;

  /** Starts for which the reserve is still held; without small workspaces all room is used. */
  private reservedStarts = 0;

  constructor(private readonly weightOf: (workspace: string) => number) {}

  get length(): number {
    return this.waiting;
  }

  /** Waiting work units of a workspace. */
  queuedUnits(workspace: string): number {
    return this.flows.get(workspace)?.queuedUnits ?? 0;
  }

  /** The workspace's share of the endpoint, from 0 to 1, if it had work waiting. */
  share(workspace: string): number {
    let total = 0;
    this.flows.forEach((flow) => {
      const isActive = flow.waiters.length > 0 || flow.runningUnits > 0;
      if (isActive && flow.workspace !== workspace) total += flow.weight;
    });
    const own = this.weightOf(workspace);
    return own / (own + total);
  }

  enqueue(item: Item): void {
    const flow = this.flowOf(item.workspace);
    flow.weight = this.weightOf(item.workspace);
    if (flow.waiters.length === 0) flow.startTag = Math.max(flow.startTag, this.virtualTime);
    flow.waiters.push(item);
    flow.queuedUnits += item.units;
    this.waiting += 1;
  }

  /** Takes the next waiter that may start, if any, without starting it. */
  dequeue(room: EndpointCapacity): Item | undefined {
    const flow = this.pick(room);
    const item = flow?.waiters[0];
    if (item) this.remove(item);
    return item;
  }

  /** Takes a waiter out of its queue; returns whether it was there. */
  remove(item: Item): boolean {
    const flow = this.flows.get(item.workspace);
    const index = flow?.waiters.indexOf(item) ?? -1;
    if (!flow || index < 0) return false;
    flow.waiters.splice(index, 1);
    flow.queuedUnits -= item.units;
    this.waiting -= 1;
    this.forget(flow);
    return true;
  }

  /** Takes out the newest waiter of the heaviest workspace; a tie goes against the newcomer. */
  evict(newcomer: Item): Item {
    let heaviest = this.flowOf(newcomer.workspace);
    this.flows.forEach((flow) => {
      const isHeavier = loadOf(flow) > loadOf(heaviest);
      if (flow.waiters.length > 0 && isHeavier) heaviest = flow;
    });
    const item = heaviest.waiters.at(-1) ?? newcomer;
    this.remove(item);
    return item;
  }

  /** Work starts; returns its priority towards the engine. */
  start(workspace: string, units: number, limit: number): Priority {
    const flow = this.flowOf(workspace);
    const tag = Math.max(flow.startTag, this.virtualTime);
    this.virtualTime = tag;
    flow.startTag = tag + units / flow.weight;
    flow.runningUnits += units;
    this.reservedStarts = Math.max(0, this.reservedStarts - 1);
    if (flow.runningUnits <= Math.max(1, lightUnits(limit))) {
      this.reservedStarts = limit * reservedRounds;
      return Priority.light;
    }
    return flow.runningUnits <= limit * this.share(workspace) ? Priority.fair : Priority.heavy;
  }

  /** Work ends; the difference between estimated and real units is settled. */
  finish(workspace: string, units: number, realUnits: number): void {
    const flow = this.flowOf(workspace);
    flow.runningUnits -= units;
    flow.startTag += (realUnits - units) / flow.weight;
    this.forget(flow);
  }

  private flowOf(workspace: string): Flow<Item> {
    let flow = this.flows.get(workspace);
    if (!flow) {
      const startTag = this.virtualTime;
      const weight = this.weightOf(workspace);
      flow = { workspace, weight, waiters: [], queuedUnits: 0, runningUnits: 0, startTag };
      this.flows.set(workspace, flow);
    }
    return flow;
  }

  /** Drops a workspace that has no work and no debt left. */
  private forget(flow: Flow<Item>): void {
    const isIdle = flow.waiters.length === 0 && flow.runningUnits <= 0;
    if (isIdle && flow.startTag <= this.virtualTime) this.flows.delete(flow.workspace);
  }

  /**
   * The first workspace by virtual time whose head may start. Behind a blocked head only workspaces
   * with little running work may start, and nobody behind work that needs the whole endpoint: smaller
   * work would keep it waiting for ever.
   */
  private pick(room: EndpointCapacity): Flow<Item> | undefined {
    if (this.waiting === 0) return undefined;
    const flows = [...this.flows.values()].filter(({ waiters }) => waiters.length > 0);
    flows.sort((a, b) => a.startTag - b.startTag);
    const reserve = this.reservedStarts > 0 ? reserveOf(room.limit) : 0;
    let isBlocked = false;
    for (const flow of flows) {
      const { units } = flow.waiters[0]!;
      const isLight = flow.runningUnits + units <= lightUnits(room.limit);
      const isReserved = room.inFlight > 0 && room.inFlight + units > room.limit - reserve;
      if (room.fits(units) && (isLight || !(isBlocked || isReserved))) return flow;
      if (units > room.limit) return undefined;
      isBlocked = true;
    }
    return undefined;
  }
}
