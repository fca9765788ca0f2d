import { SeededRandom } from '@laburnumstream/common';
import {
  DemandSums,
  DemandWindow,
  PriorityFloor,
  PriorityReserve,
  reservedPlaces,
  servedShare,
} from '@laburnumstream/decisions';

/** Load and faults of a simulated region. */
export interface PriorityLoad {
  readonly seed: number;
  readonly seconds: number;
  /** Requests per second of all entries, by priority. */
  readonly perSecond: readonly number[];
  /** Time in which the least urgent priority sends more requests, in milliseconds. */
  readonly jump?: { readonly from: number; readonly to: number; readonly factor: number };
  /** Whether entries hear of each other at a time; by default always. */
  readonly hears?: (entry: number, now: number) => boolean;
}

/** Result of one request. */
export interface PriorityResult {
  readonly priority: number;
  readonly arrivedAt: number;
  readonly isServed: boolean;
}

interface Request {
  readonly priority: number;
  readonly arrivedAt: number;
}

interface Entry {
  readonly window: DemandWindow;
  readonly sums: DemandSums;
  readonly reserve: PriorityReserve;
  readonly floor: PriorityFloor;
  queue: Request[];
  served: number;
}

const stepMs = 10;
const reportMs = 200;
const entryCount = 12;
const engineCount = 9;
const placesPerEngine = 13;
/** Time that a request of each priority holds a place, and that it may wait for one, in milliseconds. */
const holdMs = [1_100, 1_000, 500] as const;
const patienceMs = [300, 300, 700] as const;

/** Requests of three priorities at 12 entries that share the places of 9 engines, without queues at these. */
export class PrioritySimulation {
  readonly results: PriorityResult[] = [];

  private readonly random: SeededRandom;

  private readonly entries: readonly Entry[];

  /** Times at which places become free, by engine. */
  private readonly engines: number[][] = Array.from({ length: engineCount }, () => []);

  constructor(private readonly load: PriorityLoad) {
    this.random = new SeededRandom(load.seed);
    this.entries = Array.from({ length: entryCount }, () => ({
      window: new DemandWindow(),
      sums: new DemandSums(),
      reserve: new PriorityReserve(),
      floor: new PriorityFloor(),
      queue: [],
      served: 1,
    }));
  }

  run(): readonly PriorityResult[] {
    for (let now = 0; now < this.load.seconds * 1_000; now += stepMs) {
      this.arrive(now);
      this.engines.forEach((ends, index) => {
        this.engines[index] = ends.filter((at) => at > now);
      });
      const first = Math.floor(this.random.next() * entryCount);
      this.entries.forEach((_, index) =>
        this.dispatch(this.entries[(first + index) % entryCount]!, now),
      );
      if (now % reportMs === 0) this.exchange(now);
    }
    return this.results;
  }

  private arrive(now: number): void {
    const { perSecond, jump } = this.load;
    perSecond.forEach((rate, priority) => {
      const isJump = jump && priority === perSecond.length - 1 && now >= jump.from && now < jump.to;
      const mean = (rate * (isJump ? jump.factor : 1) * stepMs) / 1_000;
      let count = Math.floor(mean + this.random.next());
      for (; count > 0; count -= 1) {
        const entry = this.entries[Math.floor(this.random.next() * entryCount)]!;
        entry.window.record(priority, 'arrived', now);
        entry.floor.recordArrival(priority, entry.served);
        entry.queue.push({ priority, arrivedAt: now });
      }
    });
  }

  private dispatch(entry: Entry, now: number): void {
    entry.queue.sort((a, b) => a.priority - b.priority || a.arrivedAt - b.arrivedAt);
    Object.assign(entry, { queue: entry.queue.filter((each) => !this.settle(entry, each, now)) });
  }

  /** Places or refuses a request; returns false if it goes on waiting. */
  private settle(entry: Entry, { priority, arrivedAt }: Request, now: number): boolean {
    const { window, floor, reserve } = entry;
    const part = floor.covers(priority) ? 0 : reserve.partFor(priority);
    const fewest = Math.min(...this.engines.map(({ length }) => length));
    const engine = this.engines.findIndex(({ length }) => length === fewest);
    const isFree = fewest + reservedPlaces(part, placesPerEngine, engine / engineCount);
    if (isFree < placesPerEngine) {
      this.engines[engine]!.push(now + holdMs[priority]!);
      floor.recordPlacement(priority);
      window.record(priority, 'placedInTime', now);
      this.results.push({ priority, arrivedAt, isServed: true });
      return true;
    }
    if (now - arrivedAt < patienceMs[priority]!) return false;
    window.record(priority, 'refused', now);
    this.results.push({ priority, arrivedAt, isServed: false });
    return true;
  }

  private exchange(now: number): void {
    const { hears = () => true } = this.load;
    const parts = this.entries.map(({ window }) => window.read(now));
    this.entries.forEach((entry, index) => {
      parts.forEach((part, other) => {
        if (other === index || part.length === 0) return;
        if (hears(index, now) && hears(other, now))
          entry.sums.recordPart(`entry-${other}`, part, now);
      });
      const sum = entry.sums.sumRegion(parts[index]!, entryCount, now);
      entry.reserve.update(sum, now);
      Object.assign(entry, { served: servedShare(sum) });
    });
  }
}

/** Served part of the requests of a priority that arrived in a time, in milliseconds. */
export function servedPart(
  results: readonly PriorityResult[],
  priority: number,
  from = 0,
  to = Infinity,
): number {
  const some = results.filter(
    (each) => each.priority === priority && each.arrivedAt >= from && each.arrivedAt < to,
  );
  return some.filter(({ isServed }) => isServed).length / Math.max(1, some.length);
}
