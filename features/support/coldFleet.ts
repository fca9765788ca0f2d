import type { Random } from '@laburnumstream/common';
import {
  ColdRateShare,
  EntryCount,
  NotifierSelection,
  SharedRateLimiter,
} from '@laburnumstream/decisions';
import type { ColdRate } from '@laburnumstream/decisions';

/** A fault of one entry, of a region or of all entries, for `forMs`. */
export interface ColdFault {
  /** `kill`: processes restart afterwards. `cut`: they can't reach the store. `stop`: they leave and still send, then end. */
  readonly kind: 'kill' | 'cut' | 'stop';
  readonly atMs: number;
  readonly forMs: number;
  /** Index of an entry or a region, each modulo their number; undefined for all entries. */
  readonly entry?: number | undefined;
  readonly region?: number | undefined;
}

/** A time in which requests for the cold engine wait at entries. */
export interface ColdDemand {
  readonly atMs: number;
  readonly forMs: number;
  /** Whether they wait at the entries of the engine's region only. */
  readonly isLocal: boolean;
}

/** Entries of several regions, and what happens to them. */
export interface ColdHistory {
  readonly entries: number;
  readonly regions: number;
  readonly durationMs: number;
  readonly faults: readonly ColdFault[];
  readonly demands: readonly ColdDemand[];
}

interface Process {
  readonly count: EntryCount;
  readonly share: ColdRateShare;
  readonly rate: SharedRateLimiter;
  readonly selection: NotifierSelection;
  /** Registered entries. */
  registered: readonly number[];
  nextPollAt: number;
  nextRenewalAt: number;
}

const stepMs = 20;
const leaseMs = 9_000;
const pollMs = 250;
const windowMs = 1_000;
const assumedEntries = 16;

function isActive({ atMs, forMs }: { atMs: number; forMs: number }, now: number): boolean {
  return now >= atMs && now < atMs + forMs;
}

/** Returns the times at which the entries send to a cold engine of region 0, in virtual time. */
export function simulateColdSends(history: ColdHistory, rate: ColdRate, random: Random): number[] {
  const { entries, regions, durationMs, faults, demands } = history;
  const processes = new Map<number, Process>();
  const leases = new Map<number, number>();
  const sends: number[] = [];
  const isLocal = (entry: number): boolean => entry % regions === 0;
  const isStruck = (kind: ColdFault['kind'], entry: number, now: number): boolean =>
    faults.some(
      (fault) =>
        fault.kind === kind &&
        isActive(fault, now) &&
        (fault.entry === undefined || fault.entry % entries === entry) &&
        (fault.region === undefined || fault.region % regions === entry % regions),
    );
  const start = (entry: number, now: number): Process => ({
    count: new EntryCount(assumedEntries, windowMs),
    share: new ColdRateShare(),
    rate: new SharedRateLimiter(random.next()),
    selection: new NotifierSelection(String(entry)),
    registered: [],
    nextPollAt: now + random.next() * pollMs,
    nextRenewalAt: now + random.next() * pollMs,
  });
  const useStore = (process: Process, entry: number, isStopped: boolean, now: number): void => {
    if (isStopped) leases.delete(entry);
    else if (now >= process.nextRenewalAt) {
      leases.set(entry, now + leaseMs);
      Object.assign(process, { nextRenewalAt: now + leaseMs / 3 });
    }
    if (now < process.nextPollAt) return;
    process.count.update(leases.size, leases.has(entry), now);
    const registered = [...leases.keys()];
    const side = registered.filter((other) => isLocal(other) === isLocal(entry));
    process.selection.setEntries(side.map(String));
    Object.assign(process, { registered, nextPollAt: now + pollMs });
  };
  const send = (process: Process, entry: number, isPressed: boolean, now: number): void => {
    const { count, share, registered, selection } = process;
    const countIn = (region: number): number =>
      registered.filter((other) => other % regions === region).length;
    const ownRegion = registered.includes(entry) ? countIn(entry % regions) : 0;
    share.observe(registered.length || assumedEntries, count.current(now), ownRegion, now);
    const sharers = {
      local: isLocal(entry) ? Math.max(1, countIn(0)) : countIn(0),
      isLocal: isLocal(entry),
      isSelected: (selected: number) => selection.isSelected('engine', selected),
    };
    const perSecond = share.perSecond(rate, sharers, now);
    while (isPressed && process.rate.allows(perSecond, now)) {
      process.rate.record(perSecond, now);
      sends.push(now);
    }
  };
  for (let now = 0; now < durationMs; now += stepMs) {
    leases.forEach((endsAt, entry) => endsAt <= now && leases.delete(entry));
    for (let entry = 0; entry < entries; entry += 1) {
      const isPressed = demands.some(
        (demand) => isActive(demand, now) && (isLocal(entry) || !demand.isLocal),
      );
      const isStopped = isStruck('stop', entry, now);
      if (isStruck('stop', entry, now - stepMs) && !isStopped) processes.delete(entry);
      if (isStruck('kill', entry, now)) processes.delete(entry);
      else {
        const process = processes.get(entry) ?? start(entry, now);
        processes.set(entry, process);
        if (!isStruck('cut', entry, now)) useStore(process, entry, isStopped, now);
        send(process, entry, isPressed, now);
      }
    }
  }
  return sends;
}

/** Returns the maximum number of times in one window; `times` ascend. */
export function maxInWindow(times: readonly number[], ms: number): number {
  let first = 0;
  let most = 0;
  times.forEach((time, index) => {
    while (time - times[first]! >= ms) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
