import { freePortPair, freePorts } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import type { ForwarderSettings } from '@laburnumstream/common';
import { ForwardingEntry } from '@laburnumstream/forwarding';
import { StoreClient, storeCodec, platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { PlatformEngine, PlatformStore } from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { platformBounds } from './platformBounds.js';

/** A recorded log line of the entry. */
export interface LogEntry {
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const host = 'desk.example';
/** Timeout of the other routes, in milliseconds. */
export const routeTimeoutMs = 2_500;
/** Unix time at which engines were started, in milliseconds. */
export const firstStart = 1_700_000_000_000;

/** Timeout of the routes whose streams no deadline may cut, in milliseconds. */
export const lastingTimeoutMs = 10_000;

function createRoute(
  name: string,
  kind: string,
  attempts: number,
  timeoutMs = routeTimeoutMs,
): object {
  return {
    Name: name,
    Host: host,
    PathPrefix: `/${name}/`,
    Kind: kind,
    Service: 'desk',
    TimeoutMs: timeoutMs,
    GoalMs: 400,
    GapTargetMs: 300,
    MaxAttempts: attempts,
    Resumable: kind === 'stream',
  };
}

/** Creates the operators' configuration, as stored under `op/config`. */
export function createConfiguration(version: number, keys: readonly string[]): object {
  return {
    Version: version,
    Routes: [
      createRoute('safe', 'safe', 2),
      createRoute('unsafe', 'unsafe', 1),
      createRoute('stream', 'stream', 2),
      createRoute('single', 'stream', 1),
      createRoute('lasting', 'stream', 2, lastingTimeoutMs),
      createRoute('lastingSingle', 'stream', 1, lastingTimeoutMs),
      { ...createRoute('open', 'safe', 2), Public: true },
      { ...createRoute('openStream', 'stream', 2), Public: true },
    ],
    Services: [{ Name: 'desk', MaxConns: 100 }],
    Limits: {
      MaxHeaderBytes: 8_192,
      MaxBodyBytes: 1_000_000,
      HeaderTimeoutMs: 5_000,
      IdleTimeoutMs: 10_000,
    },
    Tenants: [{ Name: 'small', ApiKeys: keys }],
  };
}

/** Like `createConfiguration`, with an additional model service, whose weights have versions. */
export function createModelConfiguration(version: number): object {
  const { Services, ...rest } = createConfiguration(version, ['key-1']) as { Services: object[] };
  const engine = {
    Slots: 16,
    KvCapacity: 685_000,
    step_ms: 7.4,
    per_seq_ms: 0.04,
    context_per_k: 0.02,
    read_per_s: 31_900,
    pairs_per_m: 0.7,
    chunk: 2_048,
    usual: { prompt: 900, answer: 100 },
    layers: 16,
    Chunks: 48,
    ChunkBytes: 49_152,
    Models: [{ Name: 'm', WarmS: 0.3 }],
  };
  return { ...rest, Services: [...Services, { Name: 'model', MaxConns: 100, Engine: engine }] };
}

async function createSettings(store: string): Promise<ForwarderSettings> {
  const [callers, readiness] = await freePorts(2);
  return {
    instance: 'front-1',
    host: '127.0.0.1',
    dataCentre: 'a',
    region: 'r',
    regions: new Map([['a', 'r']]),
    firstPort: await freePortPair(),
    linkBitsPerSecond: 1e9,
    store: { address: store, minLeaseMs: 1_000 },
    heartbeatMs: 1_200,
    memoryBytes: 350_000_000,
    isFirstStart: true,
    callerAddress: `127.0.0.1:${callers}`,
    readinessAddress: `127.0.0.1:${readiness}`,
    bounds: platformBounds,
  };
}

/** One entry with a store and engines that implement the users' platform's protocols. */
export class PlatformFleet {
  readonly logEntries: LogEntry[] = [];

  readonly metrics = new HistogramMetrics();

  private readonly abort = new AbortController();

  private constructor(
    readonly store: PlatformStore,
    readonly engines: PlatformEngine[],
    readonly settings: ForwarderSettings,
  ) {}

  static async start(behaviours: readonly Behaviour[]): Promise<PlatformFleet> {
    const store = await PlatformStore.start();
    const engines = await Promise.all(
      behaviours.map((behaviour, index) => PlatformEngine.start(`e${index}`, behaviour)),
    );
    const fleet = new PlatformFleet(store, engines, await createSettings(store.address));
    store.write('op/config', createConfiguration(1, ['key-1']));
    engines.forEach((engine) => fleet.registerEngine(engine, 'ready'));
    return fleet;
  }

  /** Starts the entry and waits until it is ready. */
  async startEntry(): Promise<ForwardingEntry> {
    const write =
      (part: string) =>
      (message: string, fields: LogEntry['fields'] = {}): void => {
        this.logEntries.push({ message: `${part}: ${message}`, fields });
      };
    const entry = new ForwardingEntry({
      settings: this.settings,
      store: new StoreClient(this.store.address),
      fleetCodec: storeCodec,
      headerCodec: platformHeaders,
      clock: new SystemClock(),
      random: new SeededRandom(7),
      metrics: this.metrics,
      log: (part) => {
        const all = write(part);
        return { debug: all, info: all, warn: all, error: all };
      },
    });
    await entry.start(this.abort.signal);
    return entry;
  }

  /** Registers an engine that is closed with the fleet. */
  addEngine(engine: PlatformEngine): void {
    this.engines.push(engine);
    this.registerEngine(engine, 'ready');
  }

  /** Writes an engine's registration to the store. */
  registerEngine(
    engine: Pick<PlatformEngine, 'id' | 'address'>,
    state: 'ready' | 'draining',
    startedAt = firstStart,
  ): void {
    this.store.write(`servers/${engine.id}`, {
      Service: 'desk',
      Address: engine.address,
      Zone: 'a',
      Slots: 6,
      State: state,
      born: startedAt,
    });
  }

  async close(): Promise<void> {
    this.abort.abort();
    this.engines.forEach((engine) => engine.close());
    this.store.close();
  }
}

/** Host name of all routes. */
export const platformHost = host;
