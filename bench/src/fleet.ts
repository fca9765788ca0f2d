import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Failure, InstanceRole, InstanceState, Timeout } from '@laburnumstream/common';
import type { Instance, Options } from '@laburnumstream/common';
import { sha256 } from '@laburnumstream/runtime';
import {
  EngineStandIn,
  InstanceListStandIn,
  KeyValueStandIn,
  OriginStandIn,
  PlainStandIn,
  Relay,
  defaultEngineBehaviour,
  makeContent,
} from '@laburnumstream/standins';
import type { EngineBehaviour, TokenBucket } from '@laburnumstream/standins';
import type { DataCentreShape, FleetShape, ServiceShape } from './fleetShape.js';
import { ManagedProcess, Program } from './managedProcess.js';
import { freePorts } from './ports.js';

/** Operator token of fleets under test. */
export const operatorToken = 'operator-token-of-the-test-fleet';
/** Secret that the processes of a fleet under test share. */
export const internalSecret = 'secret-between-the-test-processes';

const readyTimeoutMs = 60_000;
const pollIntervalMs = 50;
/** Maximum length of a printed log tail, in characters. */
const maxReportLength = 2_000;
const defaultChunkBytes = 65_536;
const defaultWeightBytes = 1_048_576;

/** Options of a fleet under test. */
export interface FleetOptions {
  readonly engine?: Partial<EngineBehaviour>;
  readonly optionOverrides?: Partial<Options>;
  readonly weightBytes?: number;
  readonly chunkBytes?: number;
  readonly originLink?: TokenBucket;
  readonly listLagMs?: number;
  readonly logLevel?: string;
  /** Maximum time until all processes serve. */
  readonly readyTimeoutMs?: number;
  /** Puts a relay between the entries and each agent. */
  readonly relays?: boolean;
  /** Copies the output of all processes to standard error. */
  readonly echo?: boolean;
}

/** An entry under test with its base URLs. */
export interface FleetEntry {
  readonly name: string;
  readonly dataCentre: DataCentreShape;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly internalUrl: string;
  readonly process: ManagedProcess;
}

/** An agent under test with its base URLs and its stand-in endpoint. */
export interface FleetAgent {
  readonly name: string;
  readonly dataCentre: DataCentreShape;
  readonly service: string;
  readonly internalUrl: string;
  readonly weightsUrl: string;
  readonly engine?: EngineStandIn;
  readonly plain?: PlainStandIn;
  /** The relay through which entries reach the agent. */
  readonly relay?: Relay;
  readonly process: ManagedProcess;
}

/** A fleet of entry and agent processes on stand-ins of the platform's services. */
export class Fleet {
  readonly keyValue = new KeyValueStandIn();

  readonly origin: OriginStandIn;

  readonly instanceList: InstanceListStandIn;

  readonly entries: FleetEntry[] = [];

  readonly agents: FleetAgent[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'laburnumstream-'));

  constructor(
    readonly shape: FleetShape,
    private readonly options: FleetOptions = {},
  ) {
    this.origin = new OriginStandIn(options.originLink);
    this.instanceList = new InstanceListStandIn(options.listLagMs);
  }

  /** Starts stand-ins and processes, applies a configuration and waits until all endpoints serve. */
  static async start(shape: FleetShape, options: FleetOptions = {}): Promise<Fleet> {
    const fleet = new Fleet(shape, options);
    await Promise.all([fleet.keyValue.start(), fleet.origin.start(), fleet.instanceList.start()]);
    await fleet.prepare();
    fleet.entries.forEach(({ process }) => process.start());
    fleet.agents.forEach(({ process }) => process.start());
    await fleet.configure();
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Creates entries and agents, writes their settings and fills the instance list; starts none. */
  async prepare(): Promise<void> {
    for (const dataCentre of this.shape.dataCentres) {
      for (let number = 1; number <= dataCentre.entries; number += 1) {
        await this.addEntry(dataCentre, number);
      }
    }
    for (const service of this.shape.services) await this.addService(service);
    this.instanceList.set(this.instances());
  }

  /** Calls the administration API of an entry. */
  async admin(method: string, path: string, body?: object, entry = this.entries[0]!) {
    const response = await fetch(`${entry.operatorUrl}/admin/v1/${path}`, {
      method,
      headers: { authorization: `Bearer ${operatorToken}` },
      ...(body ? { body: JSON.stringify(body) } : {}),
    });
    return { status: response.status, body: (await response.json()) as Record<string, unknown> };
  }

  /** Publishes a version at the origin and starts its roll-out. */
  async rollOut(model: string, version: string): Promise<void> {
    const { weightBytes = defaultWeightBytes, chunkBytes = defaultChunkBytes } = this.options;
    this.origin.publish(model, version, makeContent(model, version, weightBytes), chunkBytes);
    const response = await this.admin('POST', `roll-outs/${model}`, { version, reason: 'test' });
    if (response.status !== 200) throw new Failure('roll_out', JSON.stringify(response.body));
  }

  /** Polls until a condition holds; throws `Timeout` with `what` in its message. */
  async waitUntil(
    condition: () => Promise<boolean> | boolean,
    what: string,
    timeoutMs = readyTimeoutMs,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > deadline) throw new Timeout(`Waited too long until ${what}.`);
      await sleep(pollIntervalMs);
    }
  }

  /** Whether every endpoint of a model serves the current target version. */
  async isRolledOut(model: string): Promise<boolean> {
    const { body } = await this.admin('GET', `roll-outs/${model}`);
    return Number(body.endpoints) > 0 && body.done === body.endpoints;
  }

  /** Waits until all endpoints are known and serve. */
  async waitUntilReady(): Promise<void> {
    await this.waitUntil(() => this.isReady(), 'the fleet is ready', this.options.readyTimeoutMs);
  }

  /** Prints the log tails of processes that are no longer running. */
  printExitedLogs(): void {
    [...this.entries, ...this.agents]
      .filter(({ process: each }) => !each.isRunning)
      .forEach(({ name, process: each }) => {
        process.stderr.write(`${name} has ended:\n${each.log.slice(-maxReportLength)}\n`);
      });
  }

  /** Kills all processes and stops all stand-ins. */
  async close(): Promise<void> {
    const processes = [...this.entries, ...this.agents].map(({ process }) => process);
    processes.forEach((process) => process.signal('SIGCONT'));
    await Promise.all(processes.map((process) => process.kill()));
    const endpoints = this.agents.map(({ engine, plain }) => engine ?? plain);
    const relays = this.agents.map(({ relay }) => relay);
    const standIns = [this.keyValue, this.origin, this.instanceList, ...endpoints, ...relays];
    await Promise.all(standIns.map((standIn) => standIn?.stop()));
    rmSync(this.folder, { recursive: true });
  }

  /** The name of the model that an engine service serves in fleets under test. */
  getModelName(service: string): string {
    return `${service}-model`;
  }

  private async isReady(): Promise<boolean> {
    const states = await Promise.all(
      this.entries.map(async (entry) => {
        const { body } = await this.admin('GET', 'status', undefined, entry);
        const members = (body.members ?? []) as { service: string; serving: string[] }[];
        const engines = new Set(
          this.shape.services.filter(({ kind }) => kind === 'engine').map(({ name }) => name),
        );
        const serving = members.filter(
          (member) => !engines.has(member.service) || member.serving.length > 0,
        );
        return serving.length === this.agents.length;
      }),
    ).catch(() => [false]);
    return states.every(Boolean);
  }

  private async configure(): Promise<void> {
    const reachable = async () => {
      const response = await this.admin('GET', 'status').catch(() => undefined);
      return response?.status === 200;
    };
    await this.waitUntil(reachable, 'the first entry answers');
    const services = this.shape.services.map(({ name, kind }) => [
      name,
      kind === 'engine'
        ? { kind: 'model', model: this.getModelName(name) }
        : { kind: 'plain', nonIdempotentPaths: ['/orders'] },
    ]);
    const dataCentres = this.shape.dataCentres.map(({ name }) => [
      name,
      { state: 'in', reason: 'first configuration', since: 0 },
    ]);
    const workspaces = Array.from({ length: 10 }, (_, index) => {
      const name = `workspace-${index}`;
      return [name, { tokenHashes: [sha256(`token-of-${name}`)] }];
    });
    const response = await this.admin('POST', 'configuration', {
      reason: 'first configuration',
      services: Object.fromEntries(services) as unknown,
      dataCentres: Object.fromEntries(dataCentres) as unknown,
      workspaces: Object.fromEntries(workspaces) as unknown,
    });
    if (response.status !== 200) throw new Failure('configure', JSON.stringify(response.body));
    const engines = this.shape.services.filter(({ kind }) => kind === 'engine');
    for (const { name } of engines) await this.rollOut(this.getModelName(name), 'v1');
  }

  private async addEntry(dataCentre: DataCentreShape, number: number): Promise<void> {
    const name = `entry-${dataCentre.name}-${number}`;
    const [callers, operators, internal] = await freePorts(3);
    const listen = {
      callers: `127.0.0.1:${callers}`,
      operators: `127.0.0.1:${operators}`,
      internal: `127.0.0.1:${internal}`,
    };
    const bootstrapOperators = { test: sha256(operatorToken) };
    const file = this.writeSettings(name, dataCentre, {
      role: 'entry',
      listen,
      bootstrapOperators,
    });
    this.entries.push({
      name,
      dataCentre,
      callerUrl: `http://${listen.callers}`,
      operatorUrl: `http://${listen.operators}`,
      internalUrl: `http://${listen.internal}`,
      process: new ManagedProcess(name, Program.entry, file, this.options.echo),
    });
  }

  private async addService(service: ServiceShape): Promise<void> {
    for (const [index, dataCentre] of this.shape.dataCentres.entries()) {
      for (let number = 1; number <= (service.endpoints[index] ?? 0); number += 1) {
        await this.addAgent(service, dataCentre, number);
      }
    }
  }

  private async addAgent(service: ServiceShape, dataCentre: DataCentreShape, number: number) {
    const name = `${service.name}-${dataCentre.name}-${number}`;
    const [internal, weights] = await freePorts(2);
    const behaviour = { ...defaultEngineBehaviour, ...this.options.engine };
    const isEngine = service.kind === 'engine';
    const engine = isEngine ? await new EngineStandIn(behaviour).start() : undefined;
    const plain = isEngine ? undefined : await new PlainStandIn().start();
    const relay = this.options.relays ? await new Relay(internal!).start() : undefined;
    const advertised = relay ? { advertised: relay.address } : {};
    const addresses = { internal: `127.0.0.1:${internal}`, weights: `127.0.0.1:${weights}` };
    const listen = { ...addresses, ...advertised };
    const url = (engine ?? plain)!.address;
    const endpoint = { kind: service.kind, url, checksFencing: behaviour.checksFencing };
    const role = { role: 'agent', listen, service: service.name, endpoint };
    const file = this.writeSettings(name, dataCentre, role);
    this.agents.push({
      name,
      dataCentre,
      service: service.name,
      internalUrl: `http://${listen.internal}`,
      weightsUrl: `http://${listen.weights}`,
      ...(engine ? { engine } : {}),
      ...(plain ? { plain } : {}),
      ...(relay ? { relay } : {}),
      process: new ManagedProcess(name, Program.agent, file, this.options.echo),
    });
  }

  private writeSettings(instance: string, dataCentre: DataCentreShape, role: object): string {
    const file = join(this.folder, `${instance}.jsonc`);
    const settings = {
      instance,
      region: dataCentre.region,
      dataCentre: dataCentre.name,
      platform: {
        keyValue: this.keyValue.address,
        origin: this.origin.address,
        instances: this.instanceList.address,
        originRegion: this.shape.originRegion,
      },
      secrets: [internalSecret],
      log: { level: this.options.logLevel ?? 'info' },
      options: { instanceListMs: 200, ...this.options.optionOverrides },
      ...role,
    };
    writeFileSync(file, `// Settings of ${instance}.\n${JSON.stringify(settings, null, 2)}\n`);
    return file;
  }

  private instances(): Instance[] {
    const place = ({ name, region }: DataCentreShape) => ({ dataCentre: name, region });
    const { live: state } = InstanceState;
    return [
      ...this.entries.map(({ name, dataCentre, internalUrl }) => ({
        name,
        role: InstanceRole.entry,
        ...place(dataCentre),
        address: internalUrl,
        state,
      })),
      ...this.agents.map(({ name, dataCentre, internalUrl, weightsUrl, service }) => {
        const addresses = { address: internalUrl, weightsAddress: weightsUrl };
        return {
          name,
          role: InstanceRole.agent,
          ...place(dataCentre),
          ...addresses,
          service,
          state,
        };
      }),
    ];
  }
}
