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
import type { CentreShape, FleetShape, ServiceShape } from './fleetShape.js';
import { ManagedProcess, Program } from './managedProcess.js';
import { freePorts } from './ports.js';

/** Token of the operator in fleets under test. */
export const operatorToken = 'operator-token-of-the-test-fleet';
/** Secret between the processes of fleets under test. */
export const internalSecret = 'secret-between-the-test-processes';

const readyTimeoutMs = 60_000;
const pollMs = 50;
/** Longest end of a log that is printed, in characters. */
const longestReport = 2_000;
const defaultChunkBytes = 65_536;
const defaultWeightBytes = 1_048_576;

/** Choices for a fleet under test. */
export interface FleetOptions {
  readonly engine?: Partial<EngineBehaviour>;
  readonly options?: Partial<Options>;
  readonly weightBytes?: number;
  readonly chunkBytes?: number;
  readonly originLink?: TokenBucket;
  readonly listLagMs?: number;
  readonly logLevel?: string;
  /** Longest time until all processes serve, in milliseconds. */
  readonly readyTimeoutMs?: number;
  /** Puts a relay between entries and each agent. */
  readonly relays?: boolean;
  readonly echo?: boolean;
}

/** An entry under test and its addresses. */
export interface FleetEntry {
  readonly name: string;
  readonly centre: CentreShape;
  readonly callers: string;
  readonly operators: string;
  readonly internal: string;
  readonly process: ManagedProcess;
}

/** An agent under test and the stand-in endpoint beside it. */
export interface FleetAgent {
  readonly name: string;
  readonly centre: CentreShape;
  readonly service: string;
  readonly internal: string;
  readonly weights: string;
  readonly engine?: EngineStandIn;
  readonly plain?: PlainStandIn;
  /** The relay through which entries reach the agent. */
  readonly relay?: Relay;
  readonly process: ManagedProcess;
}

/** Stand-ins of the platform with entries and agents as separate processes. */
export class Fleet {
  readonly keyValue = new KeyValueStandIn();

  readonly origin: OriginStandIn;

  readonly list: InstanceListStandIn;

  readonly entries: FleetEntry[] = [];

  readonly agents: FleetAgent[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'laburnumstream-'));

  constructor(
    readonly shape: FleetShape,
    private readonly choices: FleetOptions = {},
  ) {
    this.origin = new OriginStandIn(choices.originLink);
    this.list = new InstanceListStandIn(choices.listLagMs);
  }

  /** Starts the stand-ins and all processes, applies a configuration and waits until all serve. */
  static async start(shape: FleetShape, choices: FleetOptions = {}): Promise<Fleet> {
    const fleet = new Fleet(shape, choices);
    await Promise.all([fleet.keyValue.start(), fleet.origin.start(), fleet.list.start()]);
    await fleet.prepare();
    fleet.entries.forEach(({ process }) => process.start());
    fleet.agents.forEach(({ process }) => process.start());
    await fleet.configure();
    await fleet.ready();
    return fleet;
  }

  /** Makes entries and agents, writes their settings and fills the list; starts nothing. */
  async prepare(): Promise<void> {
    for (const centre of this.shape.centres) {
      for (let number = 1; number <= centre.entries; number += 1) {
        await this.addEntry(centre, number);
      }
    }
    for (const service of this.shape.services) await this.addService(service);
    this.list.set(this.instances());
  }

  /** Sends a call to the administration API of an entry. */
  async admin(method: string, path: string, body?: object, entry = this.entries[0]!) {
    const response = await fetch(`${entry.operators}/admin/v1/${path}`, {
      method,
      headers: { authorization: `Bearer ${operatorToken}` },
      ...(body ? { body: JSON.stringify(body) } : {}),
    });
    return { status: response.status, body: (await response.json()) as Record<string, unknown> };
  }

  /** Publishes a version at the origin and starts its roll-out. */
  async rollOut(model: string, version: string): Promise<void> {
    const { weightBytes = defaultWeightBytes, chunkBytes = defaultChunkBytes } = this.choices;
    this.origin.publish(model, version, makeContent(model, version, weightBytes), chunkBytes);
    const answer = await this.admin('POST', `roll-outs/${model}`, { version, reason: 'test' });
    if (answer.status !== 200) throw new Failure('roll_out', JSON.stringify(answer.body));
  }

  /** Waits until a condition holds. */
  async until(
    condition: () => Promise<boolean> | boolean,
    what: string,
    timeoutMs = readyTimeoutMs,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > deadline) throw new Timeout(`Waited too long until ${what}.`);
      await sleep(pollMs);
    }
  }

  /** Whether every endpoint of a model serves the version that is to be served. */
  async rolledOut(model: string): Promise<boolean> {
    const { body } = await this.admin('GET', `roll-outs/${model}`);
    return Number(body.endpoints) > 0 && body.done === body.endpoints;
  }

  /** Waits until all endpoints are known and serve. */
  async ready(): Promise<void> {
    await this.until(() => this.isReady(), 'the fleet is ready', this.choices.readyTimeoutMs);
  }

  /** Prints what processes that have ended by themselves last logged. */
  reportDead(): void {
    [...this.entries, ...this.agents]
      .filter(({ process: each }) => !each.isRunning)
      .forEach(({ name, process: each }) => {
        process.stderr.write(`${name} has ended:\n${each.log.slice(-longestReport)}\n`);
      });
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    const processes = [...this.entries, ...this.agents].map(({ process }) => process);
    processes.forEach((process) => process.signal('SIGCONT'));
    await Promise.all(processes.map((process) => process.kill()));
    const endpoints = this.agents.map(({ engine, plain }) => engine ?? plain);
    const relays = this.agents.map(({ relay }) => relay);
    const standIns = [this.keyValue, this.origin, this.list, ...endpoints, ...relays];
    await Promise.all(standIns.map((standIn) => standIn?.stop()));
    rmSync(this.folder, { recursive: true });
  }

  /** The model that a service of engines serves in fleets under test. */
  modelOf(service: string): string {
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
      const answer = await this.admin('GET', 'status').catch(() => undefined);
      return answer?.status === 200;
    };
    await this.until(reachable, 'the first entry answers');
    const services = this.shape.services.map(({ name, kind }) => [
      name,
      kind === 'engine'
        ? { kind: 'model', model: this.modelOf(name) }
        : { kind: 'plain', nonIdempotentPaths: ['/orders'] },
    ]);
    const dataCentres = this.shape.centres.map(({ name }) => [
      name,
      { state: 'in', reason: 'first configuration', since: 0 },
    ]);
    const workspaces = Array.from({ length: 10 }, (_, index) => {
      const name = `workspace-${index}`;
      return [name, { tokenHashes: [sha256(`token-of-${name}`)] }];
    });
    const answer = await this.admin('POST', 'configuration', {
      reason: 'first configuration',
      services: Object.fromEntries(services) as unknown,
      dataCentres: Object.fromEntries(dataCentres) as unknown,
      workspaces: Object.fromEntries(workspaces) as unknown,
    });
    if (answer.status !== 200) throw new Failure('configure', JSON.stringify(answer.body));
    const engines = this.shape.services.filter(({ kind }) => kind === 'engine');
    for (const { name } of engines) await this.rollOut(this.modelOf(name), 'v1');
  }

  private async addEntry(centre: CentreShape, number: number): Promise<void> {
    const name = `entry-${centre.name}-${number}`;
    const [callers, operators, internal] = await freePorts(3);
    const listen = {
      callers: `127.0.0.1:${callers}`,
      operators: `127.0.0.1:${operators}`,
      internal: `127.0.0.1:${internal}`,
    };
    const bootstrapOperators = { test: sha256(operatorToken) };
    const file = this.writeSettings(name, centre, { role: 'entry', listen, bootstrapOperators });
    this.entries.push({
      name,
      centre,
      callers: `http://${listen.callers}`,
      operators: `http://${listen.operators}`,
      internal: `http://${listen.internal}`,
      process: new ManagedProcess(name, Program.entry, file, this.choices.echo),
    });
  }

  private async addService(service: ServiceShape): Promise<void> {
    for (const [index, centre] of this.shape.centres.entries()) {
      for (let number = 1; number <= (service.endpoints[index] ?? 0); number += 1) {
        await this.addAgent(service, centre, number);
      }
    }
  }

  private async addAgent(service: ServiceShape, centre: CentreShape, number: number) {
    const name = `${service.name}-${centre.name}-${number}`;
    const [internal, weights] = await freePorts(2);
    const behaviour = { ...defaultEngineBehaviour, ...this.choices.engine };
    const isEngine = service.kind === 'engine';
    const engine = isEngine ? await new EngineStandIn(behaviour).start() : undefined;
    const plain = isEngine ? undefined : await new PlainStandIn().start();
    const relay = this.choices.relays ? await new Relay(internal!).start() : undefined;
    const advertised = relay ? { advertised: relay.address } : {};
    const addresses = { internal: `127.0.0.1:${internal}`, weights: `127.0.0.1:${weights}` };
    const listen = { ...addresses, ...advertised };
    const url = (engine ?? plain)!.address;
    const endpoint = { kind: service.kind, url, checksFencing: behaviour.checksFencing };
    const role = { role: 'agent', listen, service: service.name, endpoint };
    const file = this.writeSettings(name, centre, role);
    this.agents.push({
      name,
      centre,
      service: service.name,
      internal: `http://${listen.internal}`,
      weights: `http://${listen.weights}`,
      ...(engine ? { engine } : {}),
      ...(plain ? { plain } : {}),
      ...(relay ? { relay } : {}),
      process: new ManagedProcess(name, Program.agent, file, this.choices.echo),
    });
  }

  private writeSettings(instance: string, centre: CentreShape, role: object): string {
    const file = join(this.folder, `${instance}.jsonc`);
    const settings = {
      instance,
      region: centre.region,
      dataCentre: centre.name,
      platform: {
        keyValue: this.keyValue.address,
        origin: this.origin.address,
        instances: this.list.address,
        originRegion: this.shape.originRegion,
      },
      secrets: [internalSecret],
      log: { level: this.choices.logLevel ?? 'info' },
      options: { instanceListMs: 200, ...this.choices.options },
      ...role,
    };
    writeFileSync(file, `// Settings of ${instance}.\n${JSON.stringify(settings, null, 2)}\n`);
    return file;
  }

  private instances(): Instance[] {
    const place = ({ name, region }: CentreShape) => ({ dataCentre: name, region });
    const { live: state } = InstanceState;
    return [
      ...this.entries.map(({ name, centre, internal }) => ({
        name,
        role: InstanceRole.entry,
        ...place(centre),
        address: internal,
        state,
      })),
      ...this.agents.map(({ name, centre, internal, weights, service }) => {
        const addresses = { address: internal, weightsAddress: weights };
        return { name, role: InstanceRole.agent, ...place(centre), ...addresses, service, state };
      }),
    ];
  }
}
