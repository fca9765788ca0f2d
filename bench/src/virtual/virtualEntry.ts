import { setMaxListeners } from 'node:events';
import { InstanceRole, InstanceState } from '@laburnumstream/common';
import type { Instance, Log, Metrics, Random } from '@laburnumstream/common';
import {
  ConfigurationEditor,
  ConfigurationReplica,
  ConfigurationReplicator,
  ConfigurationWatcher,
} from '@laburnumstream/entry';
import type { ConfigurationPeers } from '@laburnumstream/entry';
import { MemoryKeyValueStore } from '@laburnumstream/standins';
import type { MemoryStoreContent, VirtualClock } from '@laburnumstream/standins';
import { FreezableClock } from './freezableClock.js';

const watchMs = 4_000;
const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** The environment of an entry in virtual time. */
export interface VirtualPlatform {
  readonly clock: VirtualClock;
  readonly content: MemoryStoreContent;
  readonly random: Random;
  readonly listEntries: () => readonly Instance[];
  readonly makePeers: (entry: VirtualEntry) => ConfigurationPeers;
}

/** A configuration revision and the time at which it came into force. */
export interface AppliedRevision {
  readonly revision: number;
  readonly atMs: number;
}

/** The configuration components of an entry process, on a virtual clock. */
export class VirtualEntry {
  readonly instance: Instance;

  readonly clock: FreezableClock;

  readonly store: MemoryKeyValueStore;

  readonly keeper: ConfigurationReplica;

  readonly spreader: ConfigurationReplicator;

  readonly editor: ConfigurationEditor;

  readonly history: AppliedRevision[] = [];

  /** Time until which the process is busy sending documents. */
  busyUntilMs = 0;

  readonly counters = new Map<string, number>();

  private readonly lifetime = new AbortController();

  constructor(
    name: string,
    dataCentre: string,
    private readonly platform: VirtualPlatform,
  ) {
    const { clock, content, random, listEntries, makePeers } = platform;
    setMaxListeners(0, this.lifetime.signal);
    this.instance = {
      name,
      role: InstanceRole.entry,
      region: dataCentre,
      dataCentre,
      address: name,
      state: InstanceState.live,
    };
    this.clock = new FreezableClock(clock);
    this.store = new MemoryKeyValueStore(content, this.clock, random);
    const metrics: Metrics = {
      count: (counter) => this.counters.set(counter, (this.counters.get(counter) ?? 0) + 1),
      gauge: () => undefined,
      observe: () => undefined,
      registerGauges: () => undefined,
    };
    this.keeper = new ConfigurationReplica(metrics, silentLog);
    this.editor = new ConfigurationEditor(this.store, this.keeper, this.clock);
    this.spreader = new ConfigurationReplicator(
      this.instance,
      this.keeper,
      new ConfigurationWatcher(
        this.store,
        this.keeper,
        this.clock,
        random,
        watchMs,
        metrics,
        silentLog,
      ),
      makePeers(this),
      listEntries,
      this.clock,
      random,
      watchMs,
      metrics,
      silentLog,
    );
    this.keeper.onAdoption((revision) => this.history.push({ revision, atMs: clock.now() }));
  }

  get isAlive(): boolean {
    return !this.lifetime.signal.aborted;
  }

  get signal(): AbortSignal {
    return this.lifetime.signal;
  }

  get isResponsive(): boolean {
    return this.isAlive && !this.clock.frozen;
  }

  start(): void {
    void this.spreader.run(this.lifetime.signal);
  }

  /** Terminates the process without any cleanup. */
  kill(): void {
    this.lifetime.abort();
  }

  /** Queues the sending of one document; returns the milliseconds until it is sent. */
  sendDocument(costMs: number): number {
    const now = this.platform.clock.now();
    this.busyUntilMs = Math.max(now, this.busyUntilMs) + costMs;
    return this.busyUntilMs - now;
  }
}
