import { HistoryLost, SleepAwareClock, StoreUnavailable } from '@laburnumstream/common';
import type { StoreChange, StoreChanges, StoreSnapshot } from '@laburnumstream/common';
import { ConfigurationFreshness } from '@laburnumstream/decisions';
import { FleetWatcher, FleetState } from '@laburnumstream/forwarding';
import type { FleetChange } from '@laburnumstream/forwarding';
import { HistogramMetrics } from '@laburnumstream/runtime';
import { VirtualClock } from '@laburnumstream/standins';
import { platformBounds } from './platformBounds.js';
import { SleepingClock } from './sleepingClock.js';

/** A span of a history in which calls of the store, or the instance, are in trouble. */
export interface FeedFault {
  readonly kind:
    'slowCalls' | 'slowPages' | 'slowAnswers' | 'refused' | 'silent' | 'historyLost' | 'sleep';
  readonly atMs: number;
  readonly forMs: number;
  /** Delay of calls or answers that are slow, in milliseconds. */
  readonly delayMs: number;
}

/** What happens to one entry's feed. */
export interface FeedHistory {
  /** Times of changes of the configuration, which take the key away and give it back by turns. */
  readonly changes: readonly number[];
  readonly faults: readonly FeedFault[];
}

/** What an entry was seen to do. */
export interface FeedSights {
  /** Times at which it was seen to honour the key, in milliseconds. */
  readonly honouredAt: readonly number[];
  /** Versions of the configuration in force, one after each change. */
  readonly versions: readonly number[];
}

const prefix = 'configuration';
const key = 'key';
const travelMs = 2;
const callTimeoutMs = 1_000;
const lookMs = 50;
const quiet = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** The value of the configuration that the change of number `version` makes; the first holds the key. */
function valueOf(version: number): string {
  return JSON.stringify({ version, holdsKey: version % 2 === 1 });
}

function decode({ value }: StoreChange): FleetChange {
  const { version, holdsKey } = JSON.parse(value!) as { version: number; holdsKey: boolean };
  const workspace = { name: 'w', keys: [key], priority: undefined, homeRegions: [] };
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const configuration = {
    version,
    routes: [],
    services: new Map(),
    limits,
    workspaces: holdsKey ? [workspace] : [],
    requiresKeys: true,
  };
  return { kind: 'configuration', configuration };
}

/** A store in virtual time that keeps one configuration, reached over calls in trouble. */
class HistoryStore {
  constructor(
    private readonly history: FeedHistory,
    private readonly clock: VirtualClock,
    private readonly instance: SleepingClock,
  ) {}

  async snapshot(_prefix: string, signal?: AbortSignal): Promise<StoreSnapshot> {
    await this.travel('slowCalls', signal);
    const revision = this.revisionAt(this.clock.now());
    // The list is no snapshot: its values may be newer than its revision.
    await this.clock.sleep(this.faultAt('slowPages')?.delayMs ?? travelMs, signal);
    const version = this.revisionAt(this.clock.now());
    await this.travel('slowAnswers', signal);
    return { values: [{ key: prefix, value: valueOf(version), revision: version }], revision };
  }

  async changes(
    _prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreChanges> {
    await this.travel('slowCalls', signal);
    if (this.faultAt('historyLost')) throw new HistoryLost('The history is gone.');
    const until = this.clock.now() + waitMs;
    while (this.revisionAt(this.clock.now()) <= after && this.clock.now() < until) {
      await this.clock.sleep(lookMs, signal);
    }
    const revision = this.revisionAt(this.clock.now());
    const changes = Array.from({ length: Math.max(0, revision - after) }, (_, index) => ({
      key: prefix,
      value: valueOf(after + index + 1),
      revision: after + index + 1,
    }));
    await this.travel('slowAnswers', signal);
    return { changes, revision };
  }

  /** Number of the newest configuration at a time; the first one is there from the start. */
  revisionAt(now: number): number {
    return 1 + this.history.changes.filter((at) => at <= now).length;
  }

  private faultAt(kind: FeedFault['kind']): FeedFault | undefined {
    const now = this.clock.now();
    return this.history.faults.find(
      (fault) => fault.kind === kind && now >= fault.atMs && now < fault.atMs + fault.forMs,
    );
  }

  /** The way of a call or of its answer. */
  private async travel(slow: 'slowCalls' | 'slowAnswers', signal?: AbortSignal): Promise<void> {
    if (this.faultAt('refused')) throw new StoreUnavailable('The store refuses calls.');
    const isLost = this.faultAt('silent') !== undefined;
    const delayMs = this.faultAt(slow)?.delayMs ?? travelMs;
    await this.clock.sleep(isLost ? callTimeoutMs : Math.min(delayMs, callTimeoutMs), signal);
    await this.instance.awake(signal);
    if (isLost || delayMs >= callTimeoutMs) throw new StoreUnavailable('The store is silent.');
  }
}

/** Runs the feed of one entry through a history; returns what the entry was seen to do. */
export async function runFeedHistory(history: FeedHistory, lengthMs: number): Promise<FeedSights> {
  const clock = new VirtualClock();
  const sleeps = history.faults
    .filter(({ kind }) => kind === 'sleep')
    .sort((one, other) => one.atMs - other.atMs);
  const instance = new SleepingClock(clock, sleeps);
  const metrics = new HistogramMetrics();
  const versions: number[] = [];
  const state: FleetState = new FleetState(metrics, quiet, () => {
    versions.push(state.routes?.configuration.version ?? 0);
  });
  const proof = new ConfigurationFreshness(
    platformBounds.revocationMs * 0.92,
    platformBounds.configurationMs,
  );
  const proofClock = new SleepAwareClock(instance);
  const codec = { prefix, entryKey: () => '', encodeEntry: () => '', decode };
  const store = new HistoryStore(history, clock, instance);
  const { versionMs } = platformBounds;
  const feed = new FleetWatcher(
    store,
    codec,
    state,
    proof,
    proofClock,
    instance,
    metrics,
    quiet,
    versionMs,
  );
  const abort = new AbortController();
  void feed.run(abort.signal);
  const honouredAt: number[] = [];
  for (let at = lookMs; at <= lengthMs; at += lookMs) {
    await clock.runUntil(at);
    if (instance.sleepEndAt(at) !== undefined) continue;
    const honoursKey =
      state.routes?.findWorkspace(key) !== undefined && proof.mayAcceptKeys(proofClock.now());
    if (honoursKey) honouredAt.push(at);
  }
  abort.abort();
  return { honouredAt, versions };
}
