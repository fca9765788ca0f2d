import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@laburnumstream/common';
import { ForwardingEntry } from '@laburnumstream/forwarding';
import { FleetDatagrams } from '@laburnumstream/links';
import { StoreClient, platformHeaders, storeCodec } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { Relay } from '@laburnumstream/standins';
import { eventually } from './assertions.js';
import { noopLog } from './largeFleet.js';
import { sendRequest } from './platformCaller.js';
import type { CallerResponse } from './platformCaller.js';
import { PlatformFleet, createModelConfiguration, firstStart } from './platformFleet.js';
import { QueueingEngine, fleetHeader } from './queueingEngine.js';
import type { EngineRecord } from './queueingEngine.js';
import { SteppedClock } from './steppedClock.js';

/** Time after a version is named from which no request may begin on an older one, in milliseconds. */
export const versionMs = 3_000;
const model = 'm';
const layers = 16;
const slots = 16;
/** Address of the agent in this test. */
const agentHost = '127.0.0.9';
const reportIntervalMs = 100;
/** Deadline of the callers and timeout of the routes, in milliseconds: longer than any wait in this test. */
const timeoutMs = 8_000;
const goalMs = 6_000;
const requestIntervalMs = 100;

/** Creates a configuration whose routes lead to the engines. */
function createConfiguration(): object {
  const { Routes, ...rest } = createModelConfiguration(2) as { Routes: object[] };
  const routes = Routes.map((route) => ({
    ...route,
    Service: 'model',
    TimeoutMs: timeoutMs,
    GoalMs: goalMs,
  }));
  return { ...rest, Routes: routes };
}

/** An entry in this process, its store, and one engine on version 1 with its agent's reports. */
export class VersionFleet {
  /** Clock of the entry: a suspension of its instance shows in the time of day only. */
  readonly clock = new SteppedClock(new SystemClock());

  /** Monotonic time at which version 2 was acknowledged, in milliseconds; infinite before. */
  namedAt = Infinity;

  /** Version of the engine's weights, as its agent reports it. */
  reportedVersion = 1;

  /** Returns for how long version 1 has been outdated, as the agent reports it, in milliseconds. */
  reportedOutdatedMs: () => number | undefined = () => undefined;

  /** Called with each line that the entry logs. */
  onLine: (message: string) => void = () => undefined;

  /** Suspensions of the entry's instance; `at` is the monotonic time of the others, in milliseconds. */
  private readonly suspensions: { readonly at: number; readonly ms: number }[] = [];

  private readonly abort = new AbortController();

  private constructor(
    readonly platform: PlatformFleet,
    readonly engine: QueueingEngine,
    /** Between the entry and the store. */
    readonly storeRelay: Relay,
  ) {}

  static async start(): Promise<VersionFleet> {
    const platform = await PlatformFleet.start([]);
    const { settings, store } = platform;
    Object.assign(settings, { bounds: { ...settings.bounds, versionMs } });
    const storeRelay = await new Relay(Number(store.address.split(':')[1])).start();
    const fleet = new VersionFleet(platform, await QueueingEngine.start('e0'), storeRelay);
    store.write('op/config', createConfiguration());
    fleet.nameVersion(1);
    store.write('servers/e0', {
      Service: 'model',
      Address: fleet.engine.address,
      Zone: 'a',
      Slots: slots,
      State: 'ready',
      layers: { From: 0, To: layers, Version: 1 },
      born: firstStart,
    });
    await fleet.startEntry();
    void fleet.report();
    await eventually(async () => (await fleet.send('safe')).status === 200, 'a request is served');
    return fleet;
  }

  /** Names version 2 of the weights. */
  nameNext(): void {
    this.nameVersion(2);
    this.namedAt = performance.now();
  }

  /** Suspends the instance of the entry: for it no time passes, for all others `ms` do. */
  suspend(ms: number): void {
    this.clock.stepMs += ms;
    this.suspensions.push({ at: performance.now(), ms });
  }

  /** Time since version 2 was acknowledged, for all but the entry, in milliseconds. */
  ageOf({ at }: EngineRecord): number {
    const before = this.suspensions.filter((suspension) => suspension.at <= at);
    return at - this.namedAt + before.reduce((sum, { ms }) => sum + ms, 0);
  }

  /** Requests that the engine began on version 1 after its time. */
  get begunLate(): EngineRecord[] {
    return this.engine.begun.filter((record) => this.ageOf(record) > versionMs);
  }

  /** Sends a request of a kind; its caller waits longer than the version may be used. */
  send(kind: string): Promise<CallerResponse> {
    const headers = {
      'laburnumstream-deadline-ms': String(timeoutMs),
      [fleetHeader]: this.engine.fleetId,
    };
    return sendRequest(this.platform, `/${kind}/x`, { headers });
  }

  /** Sends a request of a kind each 100 ms, for a while. */
  async sendAll(kind: string, forMs: number): Promise<void> {
    for (let sentMs = 0; sentMs < forMs; sentMs += requestIntervalMs) {
      void this.send(kind).catch(() => undefined);
      await sleep(requestIntervalMs);
    }
  }

  /** Lets the engine's instance stand still: its agent reports nothing either. */
  async standStill(forMs: number): Promise<void> {
    this.engine.freeze();
    await sleep(forMs);
    this.engine.wake();
  }

  async close(): Promise<void> {
    this.abort.abort();
    this.engine.close();
    await this.storeRelay.stop();
    await this.platform.close();
  }

  private nameVersion(version: number): void {
    this.platform.store.write(`op/version/${model}`, { Model: model, Version: version });
  }

  private async startEntry(): Promise<void> {
    const { settings, metrics } = this.platform;
    const line =
      (part: string) =>
      (message: string): void =>
        this.onLine(`${part}: ${message}`);
    const entry = new ForwardingEntry({
      settings,
      store: new StoreClient(this.storeRelay.address),
      fleetCodec: storeCodec,
      headerCodec: platformHeaders,
      clock: this.clock,
      random: new SeededRandom(7),
      metrics,
      log: (part) => {
        const all = line(part);
        return { debug: all, info: all, warn: all, error: all };
      },
    });
    await entry.start(this.abort.signal);
  }

  /** Reports the engine's state to the entry, as its agent does. */
  private async report(): Promise<void> {
    const { firstPort, host } = this.platform.settings;
    const metrics = new HistogramMetrics();
    const agent = new FleetDatagrams('side-9', {}, new SystemClock(), metrics, noopLog);
    await agent.bind(agentHost, firstPort, this.abort.signal);
    const report = {
      address: this.engine.address,
      bornAt: BigInt(firstStart),
      pacePermille: 1_000,
      isSwitching: false,
      isAnswering: true,
    };
    while (!this.abort.signal.aborted) {
      const outdatedMsAgo = this.reportedOutdatedMs();
      const outdated = outdatedMsAgo === undefined ? {} : { outdatedMsAgo };
      const value = { ...report, ...outdated, version: this.reportedVersion };
      if (!this.engine.isStill) agent.send({ case: 'report', value }, host);
      await sleep(reportIntervalMs);
    }
  }
}
