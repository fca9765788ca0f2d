import { SeededRandom } from '@laburnumstream/common';
import type { Change } from '@laburnumstream/decisions';
import { MemoryStoreContent, VirtualClock } from '@laburnumstream/standins';
import { VirtualEntry } from './virtualEntry.js';
import type { InForce } from './virtualEntry.js';
import { VirtualPeers } from './virtualPeers.js';
import type { VirtualNetwork } from './virtualPeers.js';

const nearMs = 0.5;
const farMs = 1;
const beatMs = 500;
/** Entries that one agent beats to. */
const beatsTo = 2;

/** Sizes of a fleet in virtual time. */
export interface VirtualShape {
  readonly seed: number;
  readonly dataCentres: number;
  readonly entries: number;
  readonly agents: number;
}

/** An agent that learns of new revisions from the entries that it beats to. */
interface VirtualAgent {
  readonly entries: readonly number[];
  readonly history: InForce[];
}

function lastRevision(history: readonly InForce[]): number {
  return history[history.length - 1]?.revision ?? 0;
}

/** Entries with the product's own configuration logic, and agents, on one virtual clock. */
export class VirtualFleet {
  readonly clock = new VirtualClock();

  readonly content = new MemoryStoreContent();

  readonly entries: VirtualEntry[] = [];

  readonly agents: VirtualAgent[] = [];

  readonly sentBytes = new Map<string, number>();

  /** Pairs of data centres that are cut off from each other. */
  readonly cuts = new Set<string>();

  private readonly random: SeededRandom;

  private readonly byName = new Map<string, VirtualEntry>();

  private listed: VirtualEntry['instance'][] = [];

  constructor(private readonly shape: VirtualShape) {
    this.random = new SeededRandom(shape.seed);
    for (let index = 0; index < shape.entries; index += 1) this.addEntry(index);
    this.listed = this.entries.map(({ instance }) => instance);
    this.entries.forEach((entry) => entry.start());
    for (let index = 0; index < shape.agents; index += 1) this.addAgent(index);
  }

  /** Advances the clock. */
  async run(ms: number): Promise<void> {
    await this.clock.runUntil(this.clock.now() + ms);
  }

  /** Makes a change at an entry and returns the accepted revision. */
  async change(change: Change, entry: VirtualEntry): Promise<number> {
    const { revision } = await this.clock.runUntilSettled(entry.editor.apply(change, entry.signal));
    return revision;
  }

  /** Replaces a killed entry by a new process of the same name. */
  restart(entry: VirtualEntry): VirtualEntry {
    entry.kill();
    const { name, dataCentre } = entry.instance;
    const started = this.makeEntry(name, dataCentre);
    this.entries[this.entries.indexOf(entry)] = started;
    started.start();
    return started;
  }

  /** All histories of what was in force, one for each process that ever ran. */
  get histories(): readonly (readonly InForce[])[] {
    return [...this.everStarted, ...this.agents].map(({ history }) => history);
  }

  private readonly everStarted: VirtualEntry[] = [];

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
      entries: () => this.listed,
      peersOf: (caller) => new VirtualPeers(caller, this.network()),
    });
    this.byName.set(name, entry);
    this.everStarted.push(entry);
    return entry;
  }

  private network(): VirtualNetwork {
    return {
      clock: this.clock,
      entryNamed: (name) => this.byName.get(name),
      isOpen: (from, to) => !this.cuts.has(`${from} ${to}`) && !this.cuts.has(`${to} ${from}`),
      latencyMs: (from, to) => (from === to ? nearMs : farMs),
      sent: (name, bytes) => {
        this.sentBytes.set(name, (this.sentBytes.get(name) ?? 0) + bytes);
      },
    };
  }

  private addAgent(index: number): void {
    const { dataCentres, entries } = this.shape;
    const inDataCentre = Math.ceil(entries / dataCentres);
    const chosen = Array.from({ length: beatsTo }, () => {
      const place = Math.floor(this.random.next() * inDataCentre);
      return Math.min(entries - 1, place * dataCentres + (index % dataCentres));
    });
    const agent: VirtualAgent = { entries: chosen, history: [] };
    this.agents.push(agent);
    this.beat(agent, this.random.next() * beatMs);
  }

  /** Beats again and again; an entry that answers with a newer revision sends its document. */
  private beat(agent: VirtualAgent, delayMs: number): void {
    this.clock.schedule(this.clock.now() + delayMs, () => {
      agent.entries.forEach((index) => this.compare(agent, this.entries[index]!));
      this.beat(agent, beatMs);
    });
  }

  private compare(agent: VirtualAgent, entry: VirtualEntry): void {
    const { revision } = entry.keeper.configuration;
    if (!entry.answers || revision <= lastRevision(agent.history)) return;
    const delayMs = 4 * nearMs + entry.sendDocument(1);
    this.clock.schedule(this.clock.now() + delayMs, () => {
      if (revision <= lastRevision(agent.history)) return;
      agent.history.push({ revision, atMs: this.clock.now() });
    });
  }
}
