import { HistoryLost, SleepAwareClock, StoreUnavailable } from '@laburnumstream/common';
import type {
  StoreChange,
  StoreChanges,
  StorePosition,
  StoreSnapshot,
} from '@laburnumstream/common';
import { ConfigurationFreshness } from '@laburnumstream/decisions';
import { DatedStore, FleetWatcher, FleetState } from '@laburnumstream/forwarding';
import type { FleetChange } from '@laburnumstream/forwarding';
import { HistogramMetrics } from '@laburnumstream/runtime';
import { VirtualClock } from '@laburnumstream/standins';
import { platformBounds } from './platformBounds.js';
import { SuspendableClock } from './suspendableClock.js';

/** An interval in which store calls fail or are slow, or in which the instance is suspended. */
export interface WatchFault {
  readonly kind:
    | 'slowCalls'
    | 'slowPages'
    | 'slowResponses'
    | 'refused'
    | 'silent'
    | 'historyLost'
    | 'sleep'
    | 'replicaReads'
    | 'singleEvents'
    | 'repeatedEvents';
  readonly atMs: number;
  readonly forMs: number;
  /** Delay of slow calls, pages and responses, or the age of a replica, in milliseconds. */
  readonly delayMs: number;
}

/** The events that one entry's store watch is exposed to. */
export interface WatchHistory {
  /** Times of configuration changes, which alternately remove and restore the API key. */
  readonly changes: readonly number[];
  readonly faults: readonly WatchFault[];
}

/** What was observed of an entry. */
export interface WatchObservations {
  /** Sampling times at which it honoured the key, in milliseconds. */
  readonly honouredAt: readonly number[];
  /** Version of the configuration in force at each sampling time and change of the entry's state. */
  readonly versions: readonly number[];
  /**
   * Number of responses, by call, that ended with a configuration older than the newest one of the
   * responses before.
   */
  readonly olderResponses: Readonly<Record<StoreRead, number>>;
}

type StoreRead = 'snapshot' | 'changes';

const prefix = 'configuration';
const key = 'key';
const latencyMs = 2;
const callTimeoutMs = 1_000;
const samplingMs = 50;
/** Number of known events that a repeating watch sends again. */
const repeatedEvents = 2;
const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Encodes configuration `version`; odd versions, the first among them, contain the key. */
function encodeConfiguration(version: number): string {
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

/** Store in virtual time that holds one configuration; calls to it are subject to the faults. */
class SimulatedStore {
  readonly olderResponses: Record<StoreRead, number> = { snapshot: 0, changes: 0 };

  private newestSent = 0;

  constructor(
    private readonly history: WatchHistory,
    private readonly clock: VirtualClock,
    private readonly instance: SuspendableClock,
  ) {}

  async snapshot(_prefix: string, signal?: AbortSignal): Promise<StoreSnapshot> {
    await this.delayCall('slowCalls', signal);
    const ageMs = this.faultAt('replicaReads')?.delayMs ?? 0;
    const revision = this.revisionAt(this.clock.now() - ageMs);
    // A paged list isn't a consistent snapshot: its values may be newer than its revision.
    await this.clock.sleep(this.faultAt('slowPages')?.delayMs ?? latencyMs, signal);
    const version = this.revisionAt(this.clock.now() - ageMs);
    await this.delayCall('slowResponses', signal);
    this.recordResponse('snapshot', version);
    return {
      values: [{ key: prefix, value: encodeConfiguration(version), revision: version }],
      revision,
    };
  }

  async changes(
    _prefix: string,
    { revision: after }: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreChanges> {
    await this.delayCall('slowCalls', signal);
    if (this.faultAt('historyLost')) throw new HistoryLost('The history is gone.');
    const until = this.clock.now() + waitMs;
    while (this.revisionAt(this.clock.now()) <= after && this.clock.now() < until) {
      await this.clock.sleep(samplingMs, signal);
    }
    const newest = this.revisionAt(this.clock.now());
    const sendsOne = newest > after && this.faultAt('singleEvents') !== undefined;
    // A store that repeats events starts before the requested revision and may end before it too.
    const first = this.faultAt('repeatedEvents') ? Math.max(1, after - repeatedEvents) : after + 1;
    const revision = sendsOne ? first : newest;
    const changes = Array.from({ length: Math.max(0, revision - first + 1) }, (_, index) => ({
      key: prefix,
      value: encodeConfiguration(first + index),
      revision: first + index,
    }));
    await this.delayCall('slowResponses', signal);
    if (changes.length > 0) this.recordResponse('changes', revision);
    return { changes, revision };
  }

  /** Revision of the store at a time; the first configuration exists from the start. */
  revisionAt(now: number): number {
    return 1 + this.history.changes.filter((at) => at <= now).length;
  }

  private recordResponse(call: StoreRead, version: number): void {
    if (version < this.newestSent) this.olderResponses[call] += 1;
    this.newestSent = Math.max(this.newestSent, version);
  }

  private faultAt(kind: WatchFault['kind']): WatchFault | undefined {
    const now = this.clock.now();
    return this.history.faults.find(
      (fault) => fault.kind === kind && now >= fault.atMs && now < fault.atMs + fault.forMs,
    );
  }

  /** Delays a call or its response by the network latency and the faults in force. */
  private async delayCall(
    slow: 'slowCalls' | 'slowResponses',
    signal?: AbortSignal,
  ): Promise<void> {
    if (this.faultAt('refused')) throw new StoreUnavailable('The store refuses calls.');
    const isLost = this.faultAt('silent') !== undefined;
    const delayMs = this.faultAt(slow)?.delayMs ?? latencyMs;
    await this.clock.sleep(isLost ? callTimeoutMs : Math.min(delayMs, callTimeoutMs), signal);
    await this.instance.waitUntilResumed(signal);
    if (isLost || delayMs >= callTimeoutMs) throw new StoreUnavailable('The store is silent.');
  }
}

/** Runs the store watch of one entry through a history and samples whether the key is honoured. */
export async function runWatchHistory(
  history: WatchHistory,
  lengthMs: number,
): Promise<WatchObservations> {
  const clock = new VirtualClock();
  const suspensions = history.faults
    .filter(({ kind }) => kind === 'sleep')
    .sort((one, other) => one.atMs - other.atMs);
  const instance = new SuspendableClock(clock, suspensions);
  const metrics = new HistogramMetrics();
  const versions: number[] = [];
  const state: FleetState = new FleetState(metrics, silentLog, () => {
    versions.push(state.routes?.configuration.version ?? 0);
  });
  const proof = new ConfigurationFreshness(
    platformBounds.revocationMs * 0.92,
    platformBounds.configurationMs,
  );
  const proofClock = new SleepAwareClock(instance);
  const codec = { prefix, decode };
  const store = new SimulatedStore(history, clock, instance);
  const watcher = new FleetWatcher(
    new DatedStore(store, proofClock, platformBounds),
    codec,
    state,
    proof,
    proofClock,
    instance,
    metrics,
    silentLog,
    platformBounds,
  );
  const abort = new AbortController();
  void watcher.run(abort.signal);
  const honouredAt: number[] = [];
  for (let at = samplingMs; at <= lengthMs; at += samplingMs) {
    await clock.runUntil(at);
    versions.push(state.routes?.configuration.version ?? 0);
    if (instance.suspensionEndAt(at) !== undefined) continue;
    const honoursKey =
      state.routes?.findWorkspace(key) !== undefined && proof.mayAcceptKeys(proofClock.now());
    if (honoursKey) honouredAt.push(at);
  }
  abort.abort();
  return { honouredAt, versions, olderResponses: store.olderResponses };
}
