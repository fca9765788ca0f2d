import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SeededRandom } from '@laburnumstream/common';
import { PlatformStore, Relay } from '@laburnumstream/standins';
import { PlatformMain } from '../platformProgram.js';
import { freePorts } from '../ports.js';
import { SoakEngine } from './engine.js';
import type { SoakHistory } from './history.js';
import { SoakProcess } from './process.js';
import { SoakService, configurationOf, settingsOf, soakModel, SoakBounds } from './shape.js';
import type { SoakPorts, SoakRoute, SoakShape } from './shape.js';
import { SoakOrigin } from './origin.js';

/** An entry and the way from it to the store. */
export interface SoakEntry {
  readonly name: string;
  readonly host: string;
  readonly store: Relay;
  readonly process: SoakProcess;
}

/** An engine, the way to it, and its agent if it has one. */
export interface SoakEndpoint {
  readonly engine: SoakEngine;
  readonly relay: Relay;
  readonly process: SoakProcess | undefined;
}

/** Time for which callers go on using a key that was taken away, in milliseconds. */
const removedInUseMs = 10_000;
/** Blocks of loopback addresses, so that soaks beside each other do not meet. */
const addressBlocks = 100;
const firstBlock = 20;

/** The programs of the product on stand-ins, all on loopback addresses of this machine. */
export class SoakFleet {
  readonly entries: SoakEntry[] = [];

  readonly endpoints: SoakEndpoint[] = [];

  /** Where the programs' logs are. */
  readonly logs = mkdtempSync(join(tmpdir(), 'laburnumstream-soak-'));

  namedVersion = 1;

  readonly origin = new SoakOrigin();

  private readonly keys = ['key-1'];

  private readonly removals = new Map<string, number>();

  private configurationVersion = 0;

  private extraRoutes: readonly SoakRoute[] = [];

  private ports!: SoakPorts;

  private readonly block = firstBlock + (process.pid % addressBlocks);

  private constructor(
    readonly store: PlatformStore,
    readonly history: SoakHistory,
    private readonly seed: number,
    private readonly directory: string,
  ) {}

  /** Starts everything; leaves no process behind when that fails. */
  static async start(
    shape: SoakShape,
    seed: number,
    history: SoakHistory,
    directory: string,
  ): Promise<SoakFleet> {
    const fleet = new SoakFleet(await PlatformStore.start(), history, seed, directory);
    try {
      await fleet.origin.start();
      await fleet.build(shape);
      fleet.writeConfiguration();
      fleet.nameVersion(fleet.namedVersion);
      const [first, ...others] = fleet.processes;
      await first?.startFirst();
      await Promise.all(others.map((each) => each.startFirst()));
      return fleet;
    } catch (error) {
      await fleet.close();
      throw error;
    }
  }

  get processes(): SoakProcess[] {
    const agents = this.endpoints.flatMap(({ process: agent }) => agent ?? []);
    return [...this.entries.map((entry) => entry.process), ...agents];
  }

  get callersPort(): number {
    return this.ports.callers;
  }

  /** A key that is allowed, or one that was taken away lately. */
  anyKey(draw: number): string {
    const since = this.history.now() - removedInUseMs;
    const removed = [...this.removals].filter(([, at]) => at > since).map(([key]) => key);
    const choice = draw < 0.5 || removed.length === 0 ? this.keys : removed;
    return choice[Math.floor(draw * 2 * choice.length) % choice.length]!;
  }

  get goodKey(): string {
    return this.keys.at(-1)!;
  }

  /** Adds a key and takes the oldest away. */
  rotateKeys(): void {
    this.keys.push(`key-${this.configurationVersion + 1}`);
    const gone = this.keys.shift()!;
    this.writeConfiguration();
    this.removals.set(gone, this.history.now());
  }

  setExtraRoutes(routes: readonly SoakRoute[]): void {
    this.extraRoutes = routes;
    this.writeConfiguration();
  }

  /** From now on the origin corrupts a share of the pieces that it sends. */
  setCorruption(share: number): void {
    this.origin.corrupts = share;
  }

  nameVersion(version: number): void {
    this.namedVersion = version;
    const { name } = soakModel;
    this.store.write(`op/version/${name}`, { Model: name, Version: version });
  }

  register({ engine, relay }: SoakEndpoint): void {
    this.store.write(`servers/${engine.id}`, engine.registration(relay.address));
  }

  unregister({ engine }: SoakEndpoint): void {
    this.store.remove(`servers/${engine.id}`);
  }

  /** Brings engines back that are down. */
  revive(): void {
    this.endpoints
      .filter(({ engine }) => engine.isDown)
      .forEach((endpoint) => {
        this.unregister(endpoint);
        endpoint.engine.restart();
      });
  }

  async close(): Promise<void> {
    await Promise.all(this.processes.map((each) => each.close()));
    await Promise.all(
      [...this.entries.map(({ store }) => store), ...this.endpoints.map(({ relay }) => relay)].map(
        (relay) => relay.stop(),
      ),
    );
    this.endpoints.forEach(({ engine }) => engine.close());
    this.origin.close();
    this.store.close();
  }

  private async build({ entries, models, desks }: SoakShape): Promise<void> {
    const [callers, readiness, first, , metrics, engine] = await freePorts(6);
    this.ports = {
      callers: callers!,
      readiness: readiness!,
      first: first!,
      metrics: metrics!,
      engine: engine!,
    };
    for (let place = 1; place <= entries; place += 1) await this.addEntry(place);
    for (let place = 1; place <= models; place += 1) await this.addEndpoint(place, true);
    for (let place = 1; place <= desks; place += 1) await this.addEndpoint(place, false);
  }

  private async addEntry(place: number): Promise<void> {
    const name = `entry-${place}`;
    const host = `127.${this.block}.1.${place}`;
    const { callers, readiness, metrics: metricsPort } = this.ports;
    const store = await new Relay(Number(this.store.address.split(':')[1])).start();
    const settings = {
      ...settingsOf(name, host, store.address, this.ports),
      'Listen.Front': `${host}:${callers}`,
      'Listen.Ready': `${host}:${readiness}`,
    };
    const choices = { directory: this.directory, logs: this.logs, metricsPort };
    const entry = new SoakProcess(name, PlatformMain.entry, settings, choices, this.history);
    this.entries.push({ name, host, store, process: entry });
  }

  private async addEndpoint(place: number, isModel: boolean): Promise<void> {
    const service = isModel ? SoakService.model : SoakService.desk;
    const name = `${service}-${place}`;
    const host = `127.${this.block}.${isModel ? 2 : 3}.${place}`;
    const context = {
      history: this.history,
      random: new SeededRandom(this.seed * 1_009 + place * 2 + Number(isModel)),
      keyGone: (key: string, sentAt: number) =>
        sentAt > (this.removals.get(key) ?? Infinity) + SoakBounds.revocationMs,
    };
    const engine = await new SoakEngine(name, service, context, () => {
      const changed = this.endpoints.find((each) => each.engine.name === name);
      if (changed && !changed.engine.isDown) this.register(changed);
    }).start();
    const relay = new Relay(Number(engine.address.split(':')[1]), 0, host);
    await relay.start(this.ports.engine);
    const agent = isModel ? this.agentOf(name, host, engine) : undefined;
    const endpoint: SoakEndpoint = { engine, relay, process: agent };
    this.endpoints.push(endpoint);
    this.register(endpoint);
  }

  private agentOf(name: string, host: string, engine: SoakEngine): SoakProcess {
    const settings = {
      ...settingsOf(`agent-${name}`, host, this.store.address, this.ports),
      app: engine.address,
      Service: SoakService.model,
    };
    const { directory, logs, ports } = this;
    const choices = { directory, logs, metricsPort: ports.metrics };
    return new SoakProcess(`agent-${name}`, PlatformMain.agent, settings, choices, this.history);
  }

  private writeConfiguration(): void {
    this.configurationVersion += 1;
    const { configurationVersion: version, keys, origin, extraRoutes } = this;
    this.store.write('op/config', configurationOf(version, keys, origin.address, extraRoutes));
  }
}
