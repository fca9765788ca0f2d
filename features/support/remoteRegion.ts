import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { freePortPair, freePorts } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import type { ForwarderSettings } from '@laburnumstream/common';
import { FeedReaders } from '@laburnumstream/decisions';
import { ForwardingEntry } from '@laburnumstream/forwarding';
import { StoreClient, platformHeaders, storeCodec } from '@laburnumstream/platform';
import { SystemClock } from '@laburnumstream/runtime';
import {
  Behaviours,
  NarrowLink,
  PlatformEngine,
  PlatformStore,
  Relay,
  RelayMode,
} from '@laburnumstream/standins';
import { eventually } from './assertions.js';
import { ReadableMetrics, recordEntry } from './recordedEntry.js';
import type { EntryRecord } from './recordedEntry.js';
import { sendRequest } from './platformCaller.js';
import type { CallerResponse } from './platformCaller.js';
import { platformBounds } from './platformBounds.js';
import { createConfiguration, platformHost } from './platformFleet.js';

const requestIntervalMs = 250;
const homeRegion = 'home';
const remoteRegion = 'remote';

/** Regions by data centre: the home region, the remote one and others without entries. */
function createRegions(count: number): Map<string, string> {
  const others = Array.from({ length: count - 2 }, (_, index): [string, string] => [
    `other-${index}-a`,
    `other-${index}`,
  ]);
  return new Map([['home-a', homeRegion], ['remote-a', remoteRegion], ...others]);
}

/** Bounds as on the users' deployments. */
const bounds = { ...platformBounds, configurationMs: 3_000, revocationMs: 5_000 };
/** Bandwidth for each entry of the remote region, as on the users' grown deployments. */
const linkBytesPerSecondPerEntry = 226_000;
const firstVersion = 2;

/** A route of a large configuration. */
function createAddedRoute(index: number): object {
  return {
    Name: `added-${index}`,
    Host: `shop-${index}.example`,
    PathPrefix: `/orders-${index}/`,
    Kind: 'safe',
    Service: 'desk',
    TimeoutMs: 2_500,
    GoalMs: 400,
    GapTargetMs: 300,
    MaxAttempts: 2,
    Resumable: false,
    Priority: 1,
    HomeRegions: [homeRegion, remoteRegion],
  };
}

/** A public route within `/open/` that only the home region may serve. */
const homeRoute = {
  Name: 'at-home',
  Host: platformHost,
  PathPrefix: '/open/at-home/',
  Kind: 'safe',
  Service: 'desk',
  TimeoutMs: 2_500,
  GoalMs: 400,
  MaxAttempts: 2,
  Public: true,
  HomeRegions: [homeRegion],
};

/** The route that serves the same paths in any region while `homeRoute` is not there. */
const openRoute = { ...homeRoute, Name: 'open', PathPrefix: '/open/', HomeRegions: [] };

/** An entry and what it has logged. */
interface RunningEntry {
  readonly settings: ForwarderSettings;
  /** The entry's connections to the store, on their way to the link. */
  readonly storeRelay: Relay;
  /** Monotonic times at which configurations came into force, by version. */
  readonly inForceAt: Map<number, number>;
  readonly record: EntryRecord;
  readonly abort: AbortController;
}

/** A version of the configuration and the monotonic time when it was written. */
export interface WrittenVersion {
  readonly version: number;
  readonly at: number;
}

/** Entries of a region that is connected to the store by one narrow link. */
export class RemoteRegion {
  readonly entries: RunningEntry[] = [];

  private readonly silentServers: Server[] = [];

  private lastVersion = firstVersion - 1;

  /** The configuration that was written last. */
  private lastConfiguration: object = {};

  private constructor(
    readonly store: PlatformStore,
    readonly link: NarrowLink,
    readonly homeEngine: PlatformEngine,
    readonly remoteEngine: PlatformEngine,
    private readonly regions: ReadonlyMap<string, string>,
  ) {}

  /** Starts the store, the link, an engine in two of the regions and `count` entries in the remote one. */
  static async start(count: number, regionCount = 2): Promise<RemoteRegion> {
    const store = await PlatformStore.start();
    const port = Number(store.address.split(':')[1]);
    const link = await NarrowLink.start(port, linkBytesPerSecondPerEntry * count);
    const [homeEngine, remoteEngine] = await Promise.all([
      PlatformEngine.start('e-home', Behaviours.answers),
      PlatformEngine.start('e-remote', Behaviours.answers),
    ]);
    const region = new RemoteRegion(
      store,
      link,
      homeEngine,
      remoteEngine,
      createRegions(regionCount),
    );
    region.writeConfiguration(0);
    region.registerEngine(homeEngine, 'home-a');
    region.registerEngine(remoteEngine, 'remote-a');
    const firstPort = await freePortPair();
    for (let index = 0; index < count; index += 1) await region.startEntry(index, firstPort);
    await eventually(
      () => region.entries.every(({ inForceAt }) => inForceAt.has(firstVersion)),
      'all entries have the first configuration',
    );
    await eventually(() => region.registrations === count, 'all entries are registered');
    return region;
  }

  /** Ends all entries at once and starts the same number anew, at the same time. */
  async restartEntries(): Promise<void> {
    const ended = this.entries.splice(0);
    ended.forEach(({ abort }) => abort.abort());
    const firstPort = await freePortPair();
    await Promise.all(ended.map((_, index) => this.startEntry(index, firstPort)));
  }

  /** Writes a new version of the configuration with `added` routes; returns the version. */
  writeConfiguration(added: number, keys: readonly string[] = ['key-1']): number {
    this.lastVersion += 1;
    const base = createConfiguration(this.lastVersion, keys) as { Routes: object[] };
    const addedRoutes = Array.from({ length: added }, (_, index) => createAddedRoute(index));
    const Routes = [...base.Routes, openRoute, ...(added > 0 ? [homeRoute] : []), ...addedRoutes];
    this.lastConfiguration = { ...base, Routes };
    this.rewriteConfiguration();
    return this.lastVersion;
  }

  /** Writes the last configuration once more, as operators do after the store has lost it. */
  rewriteConfiguration(): void {
    this.store.write('op/config', this.lastConfiguration);
  }

  /** Waits until entries have a version; returns the longest time that one took, in milliseconds. */
  async waitForVersion(
    wanted: number,
    writtenAt: number,
    timeoutMs: number,
    entries = this.entries,
  ): Promise<number> {
    const hasVersion = ({ inForceAt }: RunningEntry): boolean =>
      [...inForceAt.keys()].some((known) => known >= wanted);
    await eventually(
      () => entries.every(hasVersion),
      `all entries have version ${wanted}`,
      timeoutMs,
    );
    const times = entries.map(({ inForceAt }) =>
      Math.min(...[...inForceAt].filter(([known]) => known >= wanted).map(([, at]) => at)),
    );
    return Math.max(...times) - writtenAt;
  }

  /** Sends a request to each entry. */
  sendToAll(path: string): Promise<CallerResponse[]> {
    return this.sendTo(this.entries, path);
  }

  sendTo(entries: readonly RunningEntry[], path: string): Promise<CallerResponse[]> {
    return Promise.all(entries.map(({ settings }) => sendRequest({ settings }, path)));
  }

  /** Sends requests with a key to entries for some time; fails if one is not answered. */
  async expectAnswers(entries: readonly RunningEntry[], durationMs: number): Promise<void> {
    const endAt = performance.now() + durationMs;
    while (performance.now() < endAt) {
      const responses = await this.sendTo(entries, '/safe/x');
      const statuses = responses.map(({ status }) => status);
      assert.ok(
        statuses.every((status) => status === 200),
        `statuses ${statuses.join()}`,
      );
      await sleep(requestIntervalMs);
    }
  }

  /** The entries that read the store themselves while all are well. */
  get readers(): RunningEntry[] {
    return this.entries.filter((entry) => this.isReader(entry));
  }

  get others(): RunningEntry[] {
    return this.entries.filter((entry) => !this.isReader(entry));
  }

  killReaders(): void {
    this.readers.forEach(({ abort }) => abort.abort());
  }

  /** Makes the readers accept connections of other entries without ever responding. */
  async silenceReaders(): Promise<void> {
    const { readers } = this;
    this.killReaders();
    for (const { settings } of readers) {
      const server = createServer();
      await new Promise<void>((resolve) => {
        server.listen(settings.firstPort + 1, settings.host, () => resolve());
      });
      this.silentServers.push(server);
    }
  }

  /** Makes the store answer all calls of some entries with 429. */
  turnAway(entries: readonly RunningEntry[]): void {
    entries.forEach(({ storeRelay }) => storeRelay.setMode(RelayMode.turnedAway));
  }

  cutFromStore(entries: readonly RunningEntry[]): void {
    entries.forEach(({ storeRelay }) => storeRelay.setMode(RelayMode.silent));
  }

  /** Size of the current configuration in a response of the store, in bytes. */
  get configurationBytes(): number {
    return this.store.read('op/config')!.length;
  }

  /** Number of entries that are registered in the store. */
  get registrations(): number {
    return this.store.keys('laburnumstream/entries/').length;
  }

  close(): void {
    this.entries.forEach(({ abort, storeRelay }) => {
      abort.abort();
      void storeRelay.stop();
    });
    this.silentServers.forEach((server) => server.close());
    this.homeEngine.close();
    this.remoteEngine.close();
    this.link.close();
    this.store.close();
  }

  private isReader({ settings }: RunningEntry): boolean {
    const readers = new FeedReaders(settings.instance, new Set(settings.regions.values()).size);
    readers.setEntries(this.entries.map((entry) => entry.settings.instance));
    return readers.pickSource(0) === undefined;
  }

  private registerEngine({ id, address }: PlatformEngine, dataCentre: string): void {
    this.store.write(`servers/${id}`, {
      Service: 'desk',
      Address: address,
      Zone: dataCentre,
      Slots: 6,
      State: 'ready',
      born: 1_700_000_000_000,
    });
  }

  private async startEntry(index: number, firstPort: number): Promise<void> {
    const host = `127.0.0.${10 + index}`;
    const [callers, readiness] = await freePorts(2);
    const storeRelay = await new Relay(Number(this.link.address.split(':')[1])).start();
    const settings: ForwarderSettings = {
      instance: `front-${index}`,
      host,
      dataCentre: 'remote-a',
      region: remoteRegion,
      regions: this.regions,
      firstPort,
      linkBitsPerSecond: 1e9,
      store: { address: storeRelay.address, minLeaseMs: 1_000 },
      heartbeatMs: 1_200,
      memoryBytes: 350_000_000,
      isFirstStart: true,
      callerAddress: `127.0.0.1:${callers}`,
      readinessAddress: `127.0.0.1:${readiness}`,
      bounds,
    };
    const inForceAt = new Map<number, number>();
    const logged = (message: string, fields: Readonly<Record<string, unknown>> = {}): void => {
      if (message === 'Configuration in force.')
        inForceAt.set(Number(fields.version), performance.now());
    };
    const ignore = (): void => undefined;
    const abort = new AbortController();
    const store = new StoreClient(settings.store.address);
    const metrics = new ReadableMetrics();
    const record = recordEntry(store, metrics);
    const entry = new ForwardingEntry({
      settings,
      store,
      fleetCodec: storeCodec,
      headerCodec: platformHeaders,
      clock: new SystemClock(),
      random: new SeededRandom(index),
      metrics,
      log: () => ({ debug: ignore, info: logged, warn: ignore, error: ignore }),
    });
    await entry.start(abort.signal);
    this.entries.push({ settings, storeRelay, inForceAt, record, abort });
  }
}
