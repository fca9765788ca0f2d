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
import { SoakService, buildConfiguration, buildSettings, soakModel, SoakBounds } from './shape.js';
import type { SoakPorts, SoakRoute, SoakShape } from './shape.js';
import { SoakOrigin } from './origin.js';

/** An entry and the relay between it and the store. */
export interface SoakEntry {
  readonly name: string;
  readonly host: string;
  readonly storeRelay: Relay;
  readonly process: SoakProcess;
}

/** An engine, the relay in front of it, and its agent if it has one. */
export interface SoakEndpoint {
  readonly engine: SoakEngine;
  readonly relay: Relay;
  readonly process: SoakProcess | undefined;
}

/** Time for which callers keep using a removed key, in milliseconds. */
const removedKeyUseMs = 10_000;
/** Number of loopback address blocks; concurrent soaks use different blocks. */
const addressBlocks = 100;
const firstBlock = 20;

/** The programs under test with stand-ins for the platform, all on loopback addresses. */
export class SoakFleet {
  readonly entries: SoakEntry[] = [];

  readonly endpoints: SoakEndpoint[] = [];

  /** Directory of the programs' logs. */
  readonly logs = mkdtempSync(join(tmpdir(), 'laburnumstream-soak-'));

  targetVersion = 1;

  readonly origin = new SoakOrigin();

  private readonly keys = ['key-1'];

  /** Run time in milliseconds at which each key was removed. */
  private readonly keyRemovals = new Map<string, number>();

  private configurationVersion = 0;

  private extraRoutes: readonly SoakRoute[] = [];

  private ports!: SoakPorts;

  private readonly addressBlock = firstBlock + (process.pid % addressBlocks);

  private constructor(
    readonly store: PlatformStore,
    readonly history: SoakHistory,
    private readonly seed: number,
    private readonly directory: string,
  ) {}

  /** Starts all programs; on failure it stops those already started. */
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
      fleet.setTargetVersion(fleet.targetVersion);
      const [first, ...others] = fleet.processes;
      await first?.startAndWait();
      await Promise.all(others.map((each) => each.startAndWait()));
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

  /** Picks a valid or a recently removed key by a number from 0 to 1. */
  pickKey(draw: number): string {
    const since = this.history.now() - removedKeyUseMs;
    const removed = [...this.keyRemovals].filter(([, at]) => at > since).map(([key]) => key);
    const candidates = draw < 0.5 || removed.length === 0 ? this.keys : removed;
    return candidates[Math.floor(draw * 2 * candidates.length) % candidates.length]!;
  }

  /** The newest key. */
  get validKey(): string {
    return this.keys.at(-1)!;
  }

  /** Adds a key and removes the oldest one. */
  rotateKeys(): void {
    this.keys.push(`key-${this.configurationVersion + 1}`);
    const removed = this.keys.shift()!;
    this.writeConfiguration();
    this.keyRemovals.set(removed, this.history.now());
  }

  setExtraRoutes(routes: readonly SoakRoute[]): void {
    this.extraRoutes = routes;
    this.writeConfiguration();
  }

  /** Sets the share of pieces that the origin corrupts, from 0 to 1. */
  setCorruptShare(share: number): void {
    this.origin.corruptShare = share;
  }

  /** Sets the version that all model engines have to load. */
  setTargetVersion(version: number): void {
    this.targetVersion = version;
    const { name } = soakModel;
    this.store.write(`op/version/${name}`, { Model: name, Version: version });
  }

  register({ engine, relay }: SoakEndpoint): void {
    this.store.write(`servers/${engine.id}`, engine.buildRegistration(relay.address));
  }

  unregister({ engine }: SoakEndpoint): void {
    this.store.remove(`servers/${engine.id}`);
  }

  /** Restarts all engines that are down. */
  restartDownEngines(): void {
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
      [
        ...this.entries.map(({ storeRelay }) => storeRelay),
        ...this.endpoints.map(({ relay }) => relay),
      ].map((relay) => relay.stop()),
    );
    this.endpoints.forEach(({ engine }) => engine.close());
    this.origin.close();
    this.store.close();
  }

  private async build({ entries, modelEngines, plainEngines }: SoakShape): Promise<void> {
    const [callers, readiness, first, , metrics, engine] = await freePorts(6);
    this.ports = {
      callers: callers!,
      readiness: readiness!,
      first: first!,
      metrics: metrics!,
      engine: engine!,
    };
    for (let index = 1; index <= entries; index += 1) await this.addEntry(index);
    for (let index = 1; index <= modelEngines; index += 1) await this.addEndpoint(index, true);
    for (let index = 1; index <= plainEngines; index += 1) await this.addEndpoint(index, false);
  }

  private async addEntry(index: number): Promise<void> {
    const name = `entry-${index}`;
    const host = `127.${this.addressBlock}.1.${index}`;
    const { callers, readiness, metrics: metricsPort } = this.ports;
    const storeRelay = await new Relay(Number(this.store.address.split(':')[1])).start();
    const settings = {
      ...buildSettings(name, host, storeRelay.address, this.ports),
      'Listen.Front': `${host}:${callers}`,
      'Listen.Ready': `${host}:${readiness}`,
    };
    const options = { directory: this.directory, logs: this.logs, metricsPort };
    const entry = new SoakProcess(name, PlatformMain.entry, settings, options, this.history);
    this.entries.push({ name, host, storeRelay, process: entry });
  }

  private async addEndpoint(index: number, isModel: boolean): Promise<void> {
    const service = isModel ? SoakService.model : SoakService.desk;
    const name = `${service}-${index}`;
    const host = `127.${this.addressBlock}.${isModel ? 2 : 3}.${index}`;
    const context = {
      history: this.history,
      random: new SeededRandom(this.seed * 1_009 + index * 2 + Number(isModel)),
      isKeyRevoked: (key: string, sentAt: number) =>
        sentAt > (this.keyRemovals.get(key) ?? Infinity) + SoakBounds.revocationMs,
    };
    const engine = await new SoakEngine(name, service, context, () => {
      const changed = this.endpoints.find((each) => each.engine.name === name);
      if (changed && !changed.engine.isDown) this.register(changed);
    }).start();
    const relay = new Relay(Number(engine.address.split(':')[1]), 0, host);
    await relay.start(this.ports.engine);
    const agent = isModel ? this.createAgent(name, host, engine) : undefined;
    const endpoint: SoakEndpoint = { engine, relay, process: agent };
    this.endpoints.push(endpoint);
    this.register(endpoint);
  }

  private createAgent(name: string, host: string, engine: SoakEngine): SoakProcess {
    const settings = {
      ...buildSettings(`agent-${name}`, host, this.store.address, this.ports),
      app: engine.address,
      Service: SoakService.model,
    };
    const { directory, logs, ports } = this;
    const options = { directory, logs, metricsPort: ports.metrics };
    return new SoakProcess(`agent-${name}`, PlatformMain.agent, settings, options, this.history);
  }

  private writeConfiguration(): void {
    this.configurationVersion += 1;
    const { configurationVersion, keys, origin, extraRoutes } = this;
    this.store.write(
      'op/config',
      buildConfiguration(configurationVersion, keys, origin.address, extraRoutes),
    );
  }
}
