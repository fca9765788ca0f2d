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
const noLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** What an entry in virtual time stands on. */
export interface VirtualPlatform {
  readonly clock: VirtualClock;
  readonly content: MemoryStoreContent;
  readonly random: Random;
  readonly entries: () => readonly Instance[];
  readonly peersOf: (entry: VirtualEntry) => ConfigurationPeers;
}

/** A revision that came into force at a time. */
export interface InForce {
  readonly revision: number;
  readonly atMs: number;
}

/** The configuration's part of an entry process on a virtual clock. */
export class VirtualEntry {
  readonly instance: Instance;

  readonly clock: FreezableClock;

  readonly store: MemoryKeyValueStore;

  readonly keeper: ConfigurationReplica;

  readonly spreader: ConfigurationReplicator;

  readonly editor: ConfigurationEditor;

  readonly history: InForce[] = [];

  /** Until when documents sent to others occupy the process. */
  busyUntil = 0;

  readonly counters = new Map<string, number>();

  private readonly life = new AbortController();

  constructor(
    name: string,
    dataCentre: string,
    private readonly platform: VirtualPlatform,
  ) {
    const { clock, content, random, entries, peersOf } = platform;
    setMaxListeners(0, this.life.signal);
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
    this.keeper = new ConfigurationReplica(metrics, noLog);
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
        noLog,
      ),
      peersOf(this),
      entries,
      this.clock,
      random,
      watchMs,
      metrics,
      noLog,
    );
    this.keeper.onAdoption((revision) => this.history.push({ revision, atMs: clock.now() }));
  }

  get isAlive(): boolean {
    return !this.life.signal.aborted;
  }

  get signal(): AbortSignal {
    return this.life.signal;
  }

  get answers(): boolean {
    return this.isAlive && !this.clock.frozen;
  }

  start(): void {
    void this.spreader.run(this.life.signal);
  }

  /** Ends the process as a kill does. */
  kill(): void {
    this.life.abort();
  }

  /** Occupies the process with sending one document; returns the delay in milliseconds. */
  sendDocument(costMs: number): number {
    const now = this.platform.clock.now();
    this.busyUntil = Math.max(now, this.busyUntil) + costMs;
    return this.busyUntil - now;
  }
}
