import { setTimeout as sleep } from 'node:timers/promises';
import { PlatformProgram, freePorts, makeEntrySettings } from '@laburnumstream/bench';
import type { SettingsLines } from '@laburnumstream/bench';
import {
  PlatformEngine,
  PlatformStore,
  Relay,
  RelayMode,
  respondWith,
  streamEvents,
} from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { eventually } from './assertions.js';
import { sendRequest } from './platformCaller.js';
import { createConfiguration } from './platformFleet.js';

/** Time after which an endpoint that crashed is back unless a test says otherwise, in milliseconds. */
const defaultRestartMs = 1_500;
/** Time from the head of the response to the crash, in milliseconds. */
const crashDelayMs = 40;
const readinessPollMs = 50;
const readyStatus = 200;
const eventsPerStream = 12;
const partsHeader = 'laburnumstream-prompt-prefix';
/** Repeats the body of a request for the endpoint. */
const bodyHeader = 'x-body';
const limitHeader = 'server-limit';
/** Requests with this prefix of their path are answered at once, without a stream. */
const plainPrefix = '/safe/';
/** Time that such a request runs, in milliseconds. */
const plainMs = 15;
const okStatus = 200;
const firstEntryHost = 10;
/** Time after which the platform takes a registration away that is not renewed, in milliseconds. */
const registrationMs = 3_600;

/** An arrival of a request at an endpoint, or the crash of an endpoint; `at` is monotonic. */
export interface FleetEvent {
  readonly at: number;
  /** Whatever the endpoint crashes on. */
  readonly cause: string;
}

/** An endpoint's port, and the process that serves it now. */
interface EndpointSlot {
  readonly index: number;
  readonly port: number;
  engine: PlatformEngine | undefined;
  generation: number;
}

/** An entry program with its path to the store. */
interface EntryProcess {
  readonly name: string;
  readonly program: PlatformProgram;
  readonly relay: Relay;
  /** IP:PORT */
  readonly callerAddress: string;
  /** IP:PORT */
  readonly readinessAddress: string;
  /** Whether the program has said that it is ready since it was started. */
  isReady: boolean;
}

/** Whether an entry says that it is ready; false while it does not listen yet. */
async function saysReady({ readinessAddress }: EntryProcess): Promise<boolean> {
  try {
    return (await fetch(`http://${readinessAddress}/`)).status === readyStatus;
  } catch {
    return false;
  }
}

/** How the entries of a fleet can hear each other. */
export const EntryPaths = { open: 'open', cut: 'cut' } as const;

/** A value of {@link EntryPaths}. */
export type EntryPaths = (typeof EntryPaths)[keyof typeof EntryPaths];

/** Entry programs and endpoints that crash when they begin to respond to certain content. */
export class CrashFleet {
  readonly entries: EntryProcess[] = [];

  /** Arrivals of requests that crash endpoints. */
  readonly arrivals: FleetEvent[] = [];

  readonly crashes: FleetEvent[] = [];

  /** Monotonic times of all arrivals, by index of the endpoint. */
  readonly arrivalTimes = new Map<number, number[]>();

  /** Requests per second that endpoints say they can take, by index of the endpoint. */
  private readonly limits = new Map<number, number>();

  /** Parts of prompts, and bodies, that crash endpoints. */
  readonly causes = new Set<string>();

  /** Behaviours that replace that of endpoints, by index of the endpoint. */
  readonly scripts = new Map<number, Behaviour>();

  private readonly slots: EndpointSlot[] = [];

  private shared: SettingsLines | undefined;

  private lastHost = firstEntryHost;

  /** Monotonic time at which an entry became ready last. */
  lastReadyAt = 0;

  private isClosed = false;

  /** Time after which an endpoint that crashed is back, in milliseconds. */
  restartMs = defaultRestartMs;

  /** Whether it is back under the id that it had, and not under a new one. */
  keepsIds = false;

  private constructor(
    readonly store: PlatformStore,
    private readonly paths: EntryPaths,
    private readonly log: number | undefined,
  ) {}

  static async start(
    entries: number,
    endpoints: number,
    paths: EntryPaths = EntryPaths.open,
    log?: number,
  ): Promise<CrashFleet> {
    const fleet = new CrashFleet(await PlatformStore.start(), paths, log);
    fleet.store.write('op/config', createConfiguration(1, ['key-1']));
    const ports = await freePorts(endpoints);
    for (const [index, port] of ports.entries()) {
      const slot = { index, port, engine: undefined, generation: 0 };
      fleet.slots.push(slot);
      await fleet.startEndpoint(slot);
    }
    try {
      for (let index = 0; index < entries; index += 1) await fleet.addEntry();
      await fleet.waitUntilServing();
    } catch (error) {
      // The caller has no fleet to close, and programs that are left would disturb other scenarios.
      await fleet.close();
      throw error;
    }
    return fleet;
  }

  /** Starts one more entry, with a name and an address of its own. */
  async addEntry(): Promise<void> {
    const base = await makeEntrySettings(this.store.address);
    this.shared ??= base;
    const relay = await new Relay(Number(this.store.address.split(':')[1])).start();
    const host = `127.0.0.${this.lastHost}`;
    const name = `front-${this.lastHost}`;
    this.lastHost += 1;
    const settings = {
      ...base,
      NodeName: name,
      Ip: host,
      PortRange: (this.paths === EntryPaths.open ? this.shared : base).PortRange!,
      'Platform.Address': relay.address,
    };
    const program = new PlatformProgram({
      main: 'entryMain.js',
      ...(this.log === undefined ? {} : { log: this.log }),
    });
    program.write(settings);
    await program.start();
    const addresses = {
      callerAddress: base['Listen.Front']!,
      readinessAddress: base['Listen.Ready']!,
    };
    const entry = { name, program, relay, ...addresses, isReady: false };
    this.entries.push(entry);
    void this.awaitReadiness(entry);
  }

  /** Kills an entry and starts it again under its name. */
  async restartEntry(entry: EntryProcess): Promise<void> {
    const { program } = entry;
    Object.assign(entry, { isReady: false });
    program.close();
    await program.waitForExit();
    await program.start();
    void this.awaitReadiness(entry);
  }

  /** Kills all entries at once and starts them again. */
  async restartAllEntries(): Promise<void> {
    await Promise.all(this.entries.map((entry) => this.restartEntry(entry)));
  }

  /** Kills an entry for good and starts another in its place. */
  async replaceEntry(): Promise<void> {
    const [gone] = this.entries.splice(0, 1);
    gone?.program.close();
    await gone?.relay.stop();
    await this.addEntry();
  }

  /** Cuts an entry from the store, or connects it again. */
  setStorePath({ relay }: EntryProcess, isOpen: boolean): void {
    relay.setMode(isOpen ? RelayMode.open : RelayMode.silent);
  }

  /** Makes the store silent for all, or lets it respond again. */
  setStoreSilent(isSilent: boolean): void {
    this.store.isSilent = isSilent;
  }

  /** Loses each n-th response of the store, although the call takes effect. */
  loseStoreResponses(every: number): void {
    let calls = 0;
    this.store.shouldDropResponse = (): boolean => {
      calls += 1;
      return calls % every === 0;
    };
  }

  /** Makes endpoints name a limit in their responses; undefined ends it. */
  setLimit(indices: readonly number[], perSecond: number | undefined): void {
    indices.forEach((index) => {
      if (perSecond === undefined) this.limits.delete(index);
      else this.limits.set(index, perSecond);
    });
  }

  /** Sends a stream request to an entry; returns whether its caller got all events. */
  async send(entry: EntryProcess, parts: readonly string[], body: string): Promise<boolean> {
    const settings = { callerAddress: entry.callerAddress };
    const prompt = parts.map((part) => `${part}:20`).join();
    const headers = { [partsHeader]: prompt, [bodyHeader]: body };
    try {
      const response = await sendRequest({ settings }, '/stream/x', { headers, body });
      return response.isWhole && response.body.includes(`id: ${eventsPerStream}\n`);
    } catch {
      // An entry that was killed refuses the connection or closes it.
      return false;
    }
  }

  /** Sends a GET request without a body to an entry; returns whether it was served. */
  async get({ callerAddress }: EntryProcess, name: string): Promise<boolean> {
    try {
      const options = { method: 'GET', body: '' };
      const path = `${plainPrefix}${name}`;
      const { status } = await sendRequest({ settings: { callerAddress } }, path, options);
      return status === okStatus;
    } catch {
      // An entry that was killed refuses the connection or closes it.
      return false;
    }
  }

  /** Crashes endpoints for a reason that has nothing to do with requests. */
  crashEndpoints(indices: readonly number[]): void {
    indices.forEach((index) => this.crash(this.slots[index]!, 'other'));
  }

  /** Whether all entries have been ready since they were started. */
  get areEntriesReady(): boolean {
    return this.entries.every(({ isReady }) => isReady);
  }

  get endpointIndices(): number[] {
    return this.slots.map(({ index }) => index);
  }

  get endpointCount(): number {
    return this.slots.length;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.entries.forEach(({ program }) => program.close());
    await Promise.all(this.entries.map(({ relay }) => relay.stop()));
    this.slots.forEach(({ engine }) => engine?.close());
    this.store.close();
  }

  /** Waits until an entry that was started says that it is ready. */
  private async awaitReadiness(entry: EntryProcess): Promise<void> {
    while (!this.isClosed && !(await saysReady(entry))) await sleep(readinessPollMs);
    Object.assign(entry, { isReady: true });
    this.lastReadyAt = performance.now();
  }

  /** Waits until each entry serves a request. */
  private async waitUntilServing(): Promise<void> {
    for (const entry of this.entries) {
      let isServing = false;
      await eventually(
        () => {
          void this.send(entry, [], 'first').then((isServed) => {
            isServing ||= isServed;
          });
          return isServing;
        },
        `${entry.name} serves a request`,
        20_000,
      );
    }
  }

  private async startEndpoint(slot: EndpointSlot): Promise<void> {
    const { index, generation } = slot;
    const id = this.keepsIds ? `e${index}` : `e${index}-${generation}`;
    const engine = await PlatformEngine.start(
      id,
      this.createBehaviour(slot),
      '127.0.0.1',
      slot.port,
    );
    Object.assign(slot, { engine });
    this.store.write(`servers/${id}`, {
      Service: 'desk',
      Address: engine.address,
      Zone: 'a',
      Slots: 6,
      State: 'ready',
      born: 1_700_000_000_000 + generation,
    });
  }

  private createBehaviour(slot: EndpointSlot): Behaviour {
    const stream = streamEvents(eventsPerStream);
    return async (request, response, engine) => {
      const script = this.scripts.get(slot.index);
      if (script) {
        await script(request, response, engine);
        return;
      }
      this.recordArrival(slot.index, engine);
      const { url = '' } = request;
      if (url.startsWith(plainPrefix)) {
        await this.runPlainly(slot, engine, url.slice(plainPrefix.length));
        respondWith('whole answer')(request, response, engine);
        return;
      }
      const parts = String(request.headers[partsHeader] ?? '').split(',');
      const names = parts.slice(0, -1).map((part) => part.split(':')[0]!);
      const body = String(request.headers[bodyHeader] ?? '');
      const cause = [...names, body].find((name) => this.causes.has(name));
      if (cause === undefined) {
        await stream(request, response, engine);
        return;
      }
      this.arrivals.push({ at: performance.now(), cause });
      response.writeHead(200, {
        'laburnumstream-request-id': String(request.headers['laburnumstream-request-id']),
        'laburnumstream-server-seal': `seal.${engine.id}`,
        'content-type': 'text/event-stream',
      });
      response.flushHeaders();
      await sleep(crashDelayMs);
      if (slot.engine === engine) this.crash(slot, cause);
    };
  }

  /** Runs a plain request, which may crash the endpoint. */
  private async runPlainly(
    slot: EndpointSlot,
    engine: PlatformEngine,
    name: string,
  ): Promise<void> {
    const isCrashing = this.causes.has(name);
    if (isCrashing) this.arrivals.push({ at: performance.now(), cause: name });
    await sleep(isCrashing ? crashDelayMs : plainMs);
    if (isCrashing && slot.engine === engine) this.crash(slot, name);
  }

  private recordArrival(index: number, { addedHeaders }: PlatformEngine): void {
    const times = this.arrivalTimes.get(index) ?? [];
    times.push(performance.now());
    this.arrivalTimes.set(index, times);
    const limit = this.limits.get(index);
    if (limit === undefined) Reflect.deleteProperty(addedHeaders, limitHeader);
    else Object.assign(addedHeaders, { [limitHeader]: String(limit) });
  }

  private crash(slot: EndpointSlot, cause: string): void {
    const { engine } = slot;
    if (!engine) return;
    Object.assign(slot, { engine: undefined, generation: slot.generation + 1 });
    this.crashes.push({ at: performance.now(), cause });
    engine.close();
    const hasNewId = !this.keepsIds;
    if (hasNewId) setTimeout(() => this.store.remove(`servers/${engine.id}`), registrationMs);
    setTimeout(() => {
      if (!this.isClosed) void this.startEndpoint(slot);
    }, this.restartMs);
  }
}
