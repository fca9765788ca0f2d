import { SeededRandom } from '@laburnumstream/common';
import type { Change } from '@laburnumstream/decisions';
import { MemoryStoreContent, VirtualClock } from '@laburnumstream/standins';
import { VirtualEntry } from './virtualEntry.js';
import type { AppliedRevision } from './virtualEntry.js';
import { VirtualPeers } from './virtualPeers.js';
import type { VirtualNetwork } from './virtualPeers.js';

const localLatencyMs = 0.5;
const remoteLatencyMs = 1;
const heartbeatMs = 500;
/** Entries that receive the heartbeats of one agent. */
const entriesPerAgent = 2;

/** The seed and sizes of a fleet in virtual time. */
export interface VirtualShape {
  readonly seed: number;
  readonly dataCentres: number;
  readonly entries: number;
  readonly agents: number;
}

/** An agent that learns of new revisions from the entries that it sends heartbeats to. */
interface VirtualAgent {
  readonly entries: readonly number[];
  readonly history: AppliedRevision[];
}

function getLastRevision(history: readonly AppliedRevision[]): number {
  return history[history.length - 1]?.revision ?? 0;
}

/** Entries with the product's configuration logic, and agents, on one virtual clock. */
export class VirtualFleet {
  readonly clock = new VirtualClock();

  readonly content = new MemoryStoreContent();

  readonly entries: VirtualEntry[] = [];

  readonly agents: VirtualAgent[] = [];

  readonly sentBytes = new Map<string, number>();

  /** Pairs of data centres that cannot reach each other, each as two names with a space. */
  readonly partitions = new Set<string>();

  private readonly random: SeededRandom;

  private readonly entriesByName = new Map<string, VirtualEntry>();

  private listedInstances: VirtualEntry['instance'][] = [];

  constructor(private readonly shape: VirtualShape) {
    this.random = new SeededRandom(shape.seed);
    for (let index = 0; index < shape.entries; index += 1) this.addEntry(index);
    this.listedInstances = this.entries.map(({ instance }) => instance);
    this.entries.forEach((entry) => entry.start());
    for (let index = 0; index < shape.agents; index += 1) this.addAgent(index);
  }

  /** Advances the clock. */
  async advance(ms: number): Promise<void> {
    await this.clock.runUntil(this.clock.now() + ms);
  }

  /** Applies a change at an entry and returns the accepted revision. */
  async applyChange(change: Change, entry: VirtualEntry): Promise<number> {
    const { revision } = await this.clock.runUntilSettled(entry.editor.apply(change, entry.signal));
    return revision;
  }

  /** Kills an entry and replaces it by a new process of the same name. */
  restart(entry: VirtualEntry): VirtualEntry {
    entry.kill();
    const { name, dataCentre } = entry.instance;
    const started = this.makeEntry(name, dataCentre);
    this.entries[this.entries.indexOf(entry)] = started;
    started.start();
    return started;
  }

  /** The applied revisions of each process that was ever started. */
  get histories(): readonly (readonly AppliedRevision[])[] {
    return [...this.startedEntries, ...this.agents].map(({ history }) => history);
  }

  private readonly startedEntries: VirtualEntry[] = [];

  private addEntry(index: number): void {
    const dataCentre = `data-centre-${index % this.shape.dataCentres}`;
    this.entries.push(this.makeEntry(`entry-${index}`, dataCentre));
  }

  private makeEntry(name: string, dataCentre: string): VirtualEntry {
    const { clock, content, random } = this;
    const entry = new VirtualEntry(name, dataCentre, {
      clock,
      content,
      random,
      listEntries: () => this.listedInstances,
      makePeers: (caller) => new VirtualPeers(caller, this.makeNetwork()),
    });
    this.entriesByName.set(name, entry);
    this.startedEntries.push(entry);
    return entry;
  }

  private makeNetwork(): VirtualNetwork {
    return {
      clock: this.clock,
      findEntry: (name) => this.entriesByName.get(name),
      isReachable: (from, to) =>
        !this.partitions.has(`${from} ${to}`) && !this.partitions.has(`${to} ${from}`),
      latencyMs: (from, to) => (from === to ? localLatencyMs : remoteLatencyMs),
      countSent: (name, bytes) => {
        this.sentBytes.set(name, (this.sentBytes.get(name) ?? 0) + bytes);
      },
    };
  }

  private addAgent(index: number): void {
    const { dataCentres, entries } = this.shape;
    const perDataCentre = Math.ceil(entries / dataCentres);
    const chosen = Array.from({ length: entriesPerAgent }, () => {
      const position = Math.floor(this.random.next() * perDataCentre);
      return Math.min(entries - 1, position * dataCentres + (index % dataCentres));
    });
    const agent: VirtualAgent = { entries: chosen, history: [] };
    this.agents.push(agent);
    this.scheduleHeartbeat(agent, this.random.next() * heartbeatMs);
  }

  /** Sends heartbeats periodically; an entry with a newer revision responds with its document. */
  private scheduleHeartbeat(agent: VirtualAgent, delayMs: number): void {
    this.clock.schedule(this.clock.now() + delayMs, () => {
      agent.entries.forEach((index) => this.fetchIfNewer(agent, this.entries[index]!));
      this.scheduleHeartbeat(agent, heartbeatMs);
    });
  }

  private fetchIfNewer(agent: VirtualAgent, entry: VirtualEntry): void {
    const { revision } = entry.keeper.configuration;
    if (!entry.isResponsive || revision <= getLastRevision(agent.history)) return;
    const delayMs = 4 * localLatencyMs + entry.sendDocument(1);
    this.clock.schedule(this.clock.now() + delayMs, () => {
      if (revision <= getLastRevision(agent.history)) return;
      agent.history.push({ revision, atMs: this.clock.now() });
    });
  }
}
