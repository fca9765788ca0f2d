import { LRUCache } from 'lru-cache';
import { findCulprits, requiredCrashes } from './crashBlame.js';
import type { EndpointCrash, Survival } from './crashBlame.js';
import { Convictions } from './convictions.js';
import type { Conviction } from './convictions.js';

/** What one entry tells others of crashes; times are given as ages, since clocks differ. */
export interface CrashNews {
  readonly crashes: readonly CrashReport[];
  readonly survivals: readonly SurvivalReport[];
  readonly convictions: readonly Conviction[];
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
  readonly at: number;
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
/** Time for which crashes without a culprit are remembered, in milliseconds. */
const crashMemoryMs = 600_000;
const maxCrashes = 256;
const maxTraitsPerCrash = 256;
/** Maximum number of traits whose completed requests are counted; the least recent are dropped. */
const maxSurvivals = 8_192;

/** Collects crashes of endpoints and completed requests, and convicts the traits that crash endpoints. */
export class CrashEvidence {
  readonly convictions: Convictions;

  private readonly crashes = new Map<string, KnownCrash>();

  private readonly survivals = new LRUCache<string, Survival>({ max: maxSurvivals });

  /** Whether crashes have settled, or reports of settled ones have come, since culprits were sought. */
  private isChanged = false;

  constructor(onDrop?: (conviction: Conviction) => void) {
    this.convictions = new Convictions(onDrop);
  }

  /** Whether anything is known that may concern a request. */
  get isActive(): boolean {
    return this.crashes.size > 0 || this.convictions.size > 0;
  }

  /** Whether a crash waits for its settlement. */
  get hasUnsettled(): boolean {
    return [...this.crashes.values()].some(({ isSettled }) => !isSettled);
  }

  get crashCount(): number {
    return this.crashes.size;
  }

  /** Records that an endpoint may have ended at `at` under requests with these traits. */
  recordCrash(endpoint: string, at: number, traits: Iterable<string>): void {
    const known = this.crashes.get(endpoint);
    const crash = known ?? { endpoint, at, traits: new Set<string>(), isSettled: false };
    if (!known) this.addCrash(crash);
    const { size } = crash.traits;
    for (const trait of traits) {
      if (crash.traits.size < maxTraitsPerCrash) crash.traits.add(trait);
    }
    if (crash.isSettled && crash.traits.size > size) this.isChanged = true;
  }

  /** Records that a request with these traits was completed. */
  recordSurvival(traits: Iterable<string>, now: number): void {
    for (const trait of traits) {
      const { count = 0 } = this.survivals.get(trait) ?? {};
      this.survivals.set(trait, { count: count + 1, lastAt: now });
    }
  }

  /** Merges what another entry tells. */
  merge({ crashes, survivals, convictions }: CrashNews, now: number): void {
    survivals.forEach(({ trait, count, msAgo }) => {
      const known = this.survivals.get(trait);
      const lastAt = Math.max(known?.lastAt ?? -Infinity, now - msAgo);
      this.survivals.set(trait, { count: Math.max(known?.count ?? 0, count), lastAt });
    });
    crashes.forEach(({ endpoint, msAgo, traits }) =>
      this.recordCrash(endpoint, now - msAgo, traits),
    );
    convictions.forEach((conviction) => this.adopt(conviction));
  }

  /**
   * Adopts the conviction of another entry. Returns false if requests with these traits were completed
   * here so often that the crashes do not outweigh them.
   */
  adopt(conviction: Conviction): boolean {
    const { traits, crashes } = conviction;
    if (traits.length === 0) return false;
    const isContradicted = traits.every(
      (trait) => crashes < requiredCrashes(this.survivals.get(trait)?.count ?? 0),
    );
    if (!isContradicted && !this.convictions.has(conviction)) this.convictions.add(conviction);
    return !isContradicted;
  }

  /**
   * Settles crashes whose time has come and returns the convictions that follow. A crash does not count
   * if the endpoint has given a sign of life since; `lastSignOfLife` returns its monotonic time.
   */
  settle(now: number, lastSignOfLife: (endpoint: string) => number | undefined): Conviction[] {
    this.crashes.forEach((crash) => {
      if (now - crash.at > crashMemoryMs) this.crashes.delete(crash.endpoint);
      if (crash.isSettled || now - crash.at < settleMs) return;
      if ((lastSignOfLife(crash.endpoint) ?? -Infinity) > crash.at + signOfLifeMarginMs) {
        this.crashes.delete(crash.endpoint);
        return;
      }
      Object.assign(crash, { isSettled: true });
      this.isChanged = true;
    });
    if (!this.isChanged) return [];
    this.isChanged = false;
    return this.convict();
  }

  /** What to tell other entries of the crashes of these endpoints, with completed requests that matter. */
  report(endpoints: Iterable<string>, now: number): CrashNews {
    const known = [...endpoints].flatMap((endpoint) => this.crashes.get(endpoint) ?? []);
    const crashes = known.map(({ endpoint, at, traits }) => ({
      endpoint,
      msAgo: Math.round(now - at),
      traits: [...traits],
    }));
    return { crashes, survivals: this.reportSurvivals(crashes, now), convictions: [] };
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

  private convict(): Conviction[] {
    // Crashes of a convicted trait do not count against others. Those of traits that could not be told
    // apart still do, so that further crashes single out one of them.
    const known = this.convictions.all.filter(({ traits }) => traits.length === 1);
    const unexplained = [...this.crashes.values()].filter(
      (crash): crash is KnownCrash & EndpointCrash =>
        crash.isSettled &&
        !known.some(({ traits }) => traits.every((trait) => crash.traits.has(trait))),
    );
    const found = findCulprits(unexplained, (trait) => this.survivals.peek(trait))
      .map(({ traits, crashes }) => ({ traits, crashes: crashes.length }))
      .filter((conviction) => !this.convictions.has(conviction));
    found.forEach((conviction) => this.convictions.add(conviction));
    return found;
  }

  private addCrash(crash: KnownCrash): void {
    this.crashes.set(crash.endpoint, crash);
    if (this.crashes.size <= maxCrashes) return;
    const [oldest] = this.crashes.keys();
    this.crashes.delete(oldest!);
  }
}
