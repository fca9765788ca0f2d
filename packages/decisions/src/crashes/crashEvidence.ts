import { LRUCache } from 'lru-cache';
import { countMoments, explains, findCrashCauses, requiredCrashes } from './crashCauses.js';
import type { CrashCause, Survival } from './crashCauses.js';
import { Quarantines, quarantineKey } from './quarantines.js';
import type { Quarantine } from './quarantines.js';
import { findCrashingRequests } from './crashingRequests.js';
import { isSharedPart } from './traits.js';

/** What one entry reports to others of crashes; times are given as ages, since clocks differ. */
export interface CrashUpdate {
  readonly crashes: readonly CrashReport[];
  readonly survivals: readonly SurvivalReport[];
  readonly quarantines: readonly Quarantine[];
  /** Requests with shared parts that the entry has seen completed. */
  readonly completions: number;
}

/** What follows from crashes that have settled. */
export interface CrashFindings {
  readonly quarantined: readonly Quarantine[];
  /** Earlier quarantines of this entry whose crashes another trait explains. */
  readonly released: readonly Quarantine[];
  /** Endpoints that gave a sign of life, so that their crashes do not count. */
  readonly falseAlarms: readonly string[];
}

/** A crash as reported to another entry. */
export interface CrashReport {
  readonly endpoint: string;
  readonly msAgo: number;
  readonly traits: readonly string[];
}

/** Completed requests with a trait, as reported to another entry. */
export interface SurvivalReport {
  readonly trait: string;
  readonly count: number;
  /** Age of the last one, in milliseconds. */
  readonly msAgo: number;
}

/** A crash that this entry knows. */
interface KnownCrash {
  readonly endpoint: string;
  at: number;
  readonly traits: Set<string>;
  /** Whether it counts: the endpoint gave no sign of life. */
  isSettled: boolean;
}

/**
 * Time after a crash in which other entries report what they had under way, and in which a sign of life
 * shows that only the connection was lost, in milliseconds.
 */
const settleMs = 1_200;
/** A sign of life this soon after the loss of a connection may have been under way, in milliseconds. */
const signOfLifeMarginMs = 100;
/** Time for which crashes are remembered, in milliseconds: the next one may come much later. */
const crashMemoryMs = 21_600_000;
const maxCrashes = 256;
const maxReleased = 256;
const maxOwn = 256;
const maxTraitsPerCrash = 1_024;
/**
 * Completed requests without a shared part that are needed before crashes are attributed to it: while none is completed, a part
 * of all requests looks the same as one that crashes endpoints.
 */
const minContrast = 8;
/** Maximum number of traits whose completed requests are counted; the least recent are dropped. */
const maxSurvivals = 8_192;

function toQuarantine({ traits, crashes }: CrashCause): Quarantine {
  return { traits, crashes: crashes.length };
}

/** Collects crashes of endpoints and completed requests, and quarantines the traits that crash endpoints. */
export class CrashEvidence {
  readonly quarantines = new Quarantines();

  private readonly crashes = new Map<string, KnownCrash>();

  private readonly survivals = new LRUCache<string, Survival>({ max: maxSurvivals });

  /** Number of crashes behind each released quarantine, by key; only more crashes quarantine again. */
  private readonly released = new LRUCache<string, number>({ max: maxReleased });

  /** Causes that this entry has found by itself, by the key of their quarantines. */
  private readonly own = new LRUCache<string, CrashCause>({ max: maxOwn });

  /** Requests with shared parts that were completed at this entry, or at the one that reported most. */
  private completions = 0;

  /** Whether crashes have settled, or reports of settled ones have come, since causes were sought. */
  private isChanged = false;

  /** Requests under which endpoints ended repeatedly; undefined when they are to be found again. */
  private knownCrashingRequests: ReadonlyMap<string, number> | undefined;

  /** Whether anything is known that may concern a request. */
  get isActive(): boolean {
    return this.crashes.size > 0 || this.quarantines.size > 0;
  }

  /** Whether a crash waits for its settlement. */
  get hasUnsettled(): boolean {
    return [...this.crashes.values()].some(({ isSettled }) => !isSettled);
  }

  /** Whether causes are to be sought, now or when crashes settle. */
  get needsSettlement(): boolean {
    return this.crashes.size > 0 && (this.isChanged || this.hasUnsettled);
  }

  get crashCount(): number {
    return this.crashes.size;
  }

  /** Whole requests that were under way at several crashes, not completed since, by number of crashes. */
  get crashingRequests(): ReadonlyMap<string, number> {
    this.knownCrashingRequests ??= findCrashingRequests(this.crashes.values(), (trait) =>
      this.survivals.peek(trait),
    );
    return this.knownCrashingRequests;
  }

  /**
   * Whether a whole request is a crashing request and the last crash under it has not settled: the next attempt
   * would end another endpoint before the evidence is complete.
   */
  isHeld(trait: string): boolean {
    if (!this.crashingRequests.has(trait)) return false;
    return [...this.crashes.values()].some(
      ({ isSettled, traits }) => !isSettled && traits.has(trait),
    );
  }

  /** Number of requests with a trait that were completed, as far as this entry knows. */
  countSurvivals(trait: string): number {
    return this.survivals.peek(trait)?.count ?? 0;
  }

  /** Records that an endpoint may have ended at `at` under requests with these traits. */
  recordCrash(endpoint: string, at: number, traits: Iterable<string>): void {
    this.knownCrashingRequests = undefined;
    const former = this.crashes.get(endpoint);
    // An endpoint that is lost once more was not lost before.
    const known = former && at < former.at + settleMs ? former : undefined;
    if (known) known.at = Math.min(known.at, at);
    const crash = known ?? { endpoint, at, traits: new Set<string>(), isSettled: false };
    if (!known) this.addCrash(crash);
    const { size } = crash.traits;
    for (const trait of traits) {
      if (crash.traits.size < maxTraitsPerCrash) crash.traits.add(trait);
    }
    if (crash.isSettled && crash.traits.size > size) this.isChanged = true;
  }

  /** Records that a request with these traits was completed. */
  recordSurvival(traits: ReadonlySet<string>, now: number): void {
    if ([...traits].some(isSharedPart)) this.countCompletions(this.completions + 1);
    for (const trait of traits) {
      if (this.knownCrashingRequests?.has(trait)) this.knownCrashingRequests = undefined;
      const { count = 0 } = this.survivals.get(trait) ?? {};
      this.survivals.set(trait, { count: count + 1, lastAt: now });
    }
  }

  /** Merges the report of another entry. */
  merge({ crashes, survivals, quarantines, completions }: CrashUpdate, now: number): void {
    this.countCompletions(Math.max(this.completions, completions));
    if (survivals.length > 0) this.knownCrashingRequests = undefined;
    survivals.forEach(({ trait, count, msAgo }) => {
      const known = this.survivals.get(trait);
      const lastAt = Math.max(known?.lastAt ?? -Infinity, now - msAgo);
      this.survivals.set(trait, { count: Math.max(known?.count ?? 0, count), lastAt });
    });
    crashes.forEach(({ endpoint, msAgo, traits }) =>
      this.recordCrash(endpoint, now - msAgo, traits),
    );
    quarantines.forEach((quarantine) => this.accept(quarantine));
  }

  /**
   * Accepts the quarantine of another entry. Returns false if requests with these traits were completed
   * here so often that the crashes do not outweigh them.
   */
  accept(quarantine: Quarantine): boolean {
    const { traits, crashes } = quarantine;
    if (traits.length === 0) return false;
    if (crashes <= (this.released.get(quarantineKey(quarantine)) ?? 0)) return true;
    const isContradicted = traits.every(
      (trait) => crashes < requiredCrashes(trait, this.survivals.get(trait)?.count ?? 0),
    );
    if (!isContradicted && !this.quarantines.has(quarantine)) {
      this.quarantines.add(quarantine);
      this.isChanged = true;
    }
    return !isContradicted;
  }

  /** Drops a quarantine that proved wrong; entries that have not heard of it yet may still repeat it. */
  release(quarantine: Quarantine): void {
    const key = quarantineKey(quarantine);
    this.quarantines.remove(quarantine);
    this.own.delete(key);
    this.released.set(key, quarantine.crashes);
  }

  /**
   * Settles crashes whose time has come and returns the findings that follow. A crash does not count
   * if the endpoint has given a sign of life since; `lastSignOfLife` returns its monotonic time,
   * -Infinity if there was none.
   */
  settle(now: number, lastSignOfLife: (endpoint: string) => number): CrashFindings {
    const falseAlarms: string[] = [];
    this.crashes.forEach((crash) => {
      if (now - crash.at > crashMemoryMs) this.forget(crash.endpoint);
      if (crash.isSettled || now - crash.at < settleMs) return;
      if (this.dropFalseAlarm(crash.endpoint, lastSignOfLife(crash.endpoint))) {
        falseAlarms.push(crash.endpoint);
        return;
      }
      Object.assign(crash, { isSettled: true });
      this.isChanged = true;
    });
    if (!this.isChanged) return { quarantined: [], released: [], falseAlarms };
    this.isChanged = false;
    return { ...this.evaluate(), falseAlarms };
  }

  /** Whether the crash of an endpoint is recorded and has not been found to be a lost connection. */
  hasCrash(endpoint: string): boolean {
    return this.crashes.has(endpoint);
  }

  /**
   * Forgets the crash of an endpoint that has given a sign of life at `at` since. Returns false if the
   * crash still stands.
   */
  dropFalseAlarm(endpoint: string, at: number): boolean {
    const crash = this.crashes.get(endpoint);
    if (!crash || at <= crash.at + signOfLifeMarginMs) return false;
    return this.forget(endpoint);
  }

  /** The report to other entries on the crashes of these endpoints, with completed requests that matter. */
  report(endpoints: Iterable<string>, now: number): CrashUpdate {
    const known = [...endpoints].flatMap((endpoint) => this.crashes.get(endpoint) ?? []);
    const crashes = known.map(({ endpoint, at, traits }) => ({
      endpoint,
      msAgo: Math.round(now - at),
      traits: [...traits],
    }));
    const survivals = this.reportSurvivals(crashes, now);
    return { crashes, survivals, quarantines: [], completions: this.completions };
  }

  /** The completed requests with traits of these crashes. */
  reportSurvivals(crashes: readonly CrashReport[], now: number): SurvivalReport[] {
    const traits = new Set(crashes.flatMap((crash) => crash.traits));
    return [...traits].flatMap((trait) => {
      const survival = this.survivals.peek(trait);
      if (!survival) return [];
      return [{ trait, count: survival.count, msAgo: Math.round(now - survival.lastAt) }];
    });
  }

  private countCompletions(count: number): void {
    if (this.completions < minContrast && count >= minContrast) this.isChanged = true;
    this.completions = count;
  }

  private evaluate(): Omit<CrashFindings, 'falseAlarms'> {
    const accepted = this.findAccepted();
    const found = this.findCrashCauses(accepted);
    const released = [...this.own].filter(([key, former]) =>
      CrashEvidence.isRefuted(key, former, [...found, ...accepted]),
    );
    released.forEach(([, { traits, crashes }]) =>
      this.release({ traits, crashes: crashes.length }),
    );
    const quarantined = found.filter((cause) => this.mayQuarantine(cause));
    quarantined.forEach((cause) => {
      this.own.set(quarantineKey(cause), cause);
      this.quarantines.add(toQuarantine(cause));
    });
    return {
      quarantined: quarantined.map(toQuarantine),
      released: released.map(([, cause]) => toQuarantine(cause)),
    };
  }

  private get settledCrashes(): KnownCrash[] {
    return [...this.crashes.values()].filter(({ isSettled }) => isSettled);
  }

  /** The single traits that only other entries have quarantined, with the crashes known here. */
  private findAccepted(): CrashCause[] {
    return this.quarantines.all
      .filter(
        (quarantine) => quarantine.traits.length === 1 && !this.own.has(quarantineKey(quarantine)),
      )
      .map(({ traits }) => ({
        traits,
        crashes: this.settledCrashes.filter((crash) => crash.traits.has(traits[0]!)),
      }));
  }

  /** The traits that explain the crashes that no accepted quarantine explains. */
  private findCrashCauses(accepted: readonly CrashCause[]): CrashCause[] {
    const explained = new Set(accepted.flatMap(({ crashes }) => crashes));
    const unexplained = this.settledCrashes.filter((crash) => !explained.has(crash));
    const hasContrast = this.completions >= minContrast;
    return findCrashCauses(unexplained, (trait) => this.survivals.peek(trait)).filter(
      ({ traits }) => hasContrast || !traits.every(isSharedPart),
    );
  }

  /**
   * Whether another trait explains the crashes of an earlier cause by now. One of several traits is
   * too narrow to do harm, and may well contain the true one.
   */
  private static isRefuted(key: string, former: CrashCause, found: readonly CrashCause[]): boolean {
    if (former.traits.length > 1) return false;
    return (
      found.every((cause) => quarantineKey(cause) !== key) &&
      found.some((cause) => explains(cause, former))
    );
  }

  /** Whether a cause is new, and earlier ones leave enough of its crashes unexplained. */
  private mayQuarantine(cause: CrashCause): boolean {
    if (this.quarantines.has(cause)) return false;
    const key = quarantineKey(cause);
    if (cause.crashes.length <= (this.released.get(key) ?? 0)) return false;
    const standing = [...this.own.values()].filter(({ traits }) => traits.length === 1);
    const explained = new Set(standing.flatMap(({ crashes }) => crashes));
    const left = cause.crashes.filter((crash) => !explained.has(crash));
    return cause.traits.some((trait) => countMoments(left) >= requiredCrashes(trait, 0));
  }

  private forget(endpoint: string): boolean {
    this.knownCrashingRequests = undefined;
    return this.crashes.delete(endpoint);
  }

  private addCrash(crash: KnownCrash): void {
    this.crashes.set(crash.endpoint, crash);
    if (this.crashes.size <= maxCrashes) return;
    const [oldest] = this.crashes.keys();
    this.crashes.delete(oldest!);
  }
}
