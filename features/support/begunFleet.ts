import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FleetBounds, ForwarderSettings } from '@laburnumstream/common';
import type { ForwardingEntry } from '@laburnumstream/forwarding';
import { FleetDatagrams } from '@laburnumstream/links';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { Behaviours, PlatformEngine, buildHeaders } from '@laburnumstream/standins';
import { eventually } from './assertions.js';
import { sumMetric } from './metricsText.js';
import { sendRequest } from './platformCaller.js';
import type { CallerResponse } from './platformCaller.js';
import { PlatformFleet, createConfiguration } from './platformFleet.js';
import { createOtherEntry, createOtherSettings } from './reviewedFleet.js';

/** Events of a stream, and the last one before it is broken off. */
export const eventCount = 12;
export const lastBeforeBreak = 5;
const eventIntervalMs = 15;
/** Interval of the events of streams that keep an endpoint occupied, in milliseconds. */
const longEventIntervalMs = 60;
/** Window of the retry budget in this test, in milliseconds: after it an entry knows that it is alone. */
const retryWindowMs = 1_000;
/** Time after a window within which an entry knows the number of entries, in milliseconds. */
const budgetNoticeMs = 10_000;
/** Part of the retry budget that an entry uses for retries after failures. */
const usedShare = 0.8;
/** Address of the agents in this test. */
const agentHost = '127.0.0.9';
const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** An arrival of a request at an endpoint; `at` is monotonic. */
export interface Arrival {
  readonly at: number;
  readonly id: string;
  readonly endpoint: number;
  /** Whether the endpoint ran it. */
  readonly isRun: boolean;
}

/** An endpoint's port, and what it does with requests. */
export interface BegunEndpoint {
  readonly index: number;
  engine: PlatformEngine;
  port: number;
  isFull: boolean;
  hasEnded: boolean;
}

/** What happens when a stream has reached its last event before the break; `socket` is its connection. */
export type Interruption = (endpoint: BegunEndpoint, request: IncomingMessage) => Promise<void>;

/** What a fleet differs in from the usual. */
export interface BegunOptions {
  readonly bounds?: Partial<FleetBounds>;
  /** Connections that all entries together may have to an endpoint. */
  readonly maxConnections?: number;
}

/** One entry and endpoints whose streams are interrupted after some events. */
export class BegunFleet {
  readonly endpoints: BegunEndpoint[] = [];

  readonly arrivals: Arrival[] = [];

  /** Called for each stream that reaches its last event before the break at its first endpoint. */
  interrupt: Interruption = async () => undefined;

  /** Called for each stream that arrives again. */
  resume: Interruption = async () => undefined;

  /** Whether an endpoint turns a request away. */
  refuses: (endpoint: BegunEndpoint, request: IncomingMessage) => boolean = ({ isFull }) => isFull;

  /** How an endpoint turns a request away. */
  turnAway: (endpoint: BegunEndpoint, response: ServerResponse, request: IncomingMessage) => void =
    (_endpoint, response, request) => Behaviours.refuses(request, response);

  private readonly agentAbort = new AbortController();

  private readonly otherAbort = new AbortController();

  private agent: FleetDatagrams | undefined;

  private version = 1;

  private constructor(
    readonly platform: PlatformFleet,
    private readonly maxConnections: number,
  ) {}

  static async start(
    count: number,
    { bounds = {}, maxConnections = 100 }: BegunOptions = {},
  ): Promise<BegunFleet> {
    const platform = await PlatformFleet.start([]);
    const { settings } = platform;
    Object.assign(settings, { bounds: { ...settings.bounds, retryWindowMs, ...bounds } });
    const fleet = new BegunFleet(platform, maxConnections);
    fleet.configure({});
    for (let index = 0; index < count; index += 1) {
      const endpoint = { index, isFull: false, hasEnded: false } as BegunEndpoint;
      fleet.endpoints.push(endpoint);
      await fleet.startEndpoint(endpoint);
    }
    return fleet;
  }

  /** Starts the entry and waits until it knows all endpoints, and that it is alone. */
  async startEntry(): Promise<ForwardingEntry> {
    const entry = await this.startNewEntry();
    await this.waitForBudget(1);
    return entry;
  }

  /** Starts the entry and waits until it knows all endpoints. */
  private async startNewEntry(): Promise<ForwardingEntry> {
    const entry = await this.platform.startEntry();
    await eventually(
      () => this.countLines('fleet: Endpoint registered.') === this.endpoints.length,
      'all endpoints are registered',
    );
    return entry;
  }

  /** Starts the entry and another one; returns the settings of both, by default when they know of each other. */
  async startTwoEntries(areNew = false): Promise<ForwarderSettings[]> {
    const { platform, otherAbort } = this;
    const settings = await createOtherSettings(platform);
    const other = await createOtherEntry(platform, settings);
    // It starts first: the last one to start is also the last one to know the number of entries.
    await other.start(otherAbort.signal);
    await this.startNewEntry();
    if (!areNew) await this.waitForBudget(2);
    return [platform.settings, settings];
  }

  /** Waits until the entry knows the number of entries, and so may use its whole share of the retry budget. */
  private async waitForBudget(entries: number): Promise<void> {
    const { metrics, settings } = this.platform;
    const least = (settings.bounds.retrySlack / entries) * usedShare;
    await eventually(async () => (await this.sendPlain()).status === 200, 'a request is answered');
    await eventually(
      () => sumMetric(metrics, 'retry_budget_allowed', { service: 'desk' }) >= least,
      'the entry may use its whole share of the retry budget',
      settings.bounds.retryWindowMs + budgetNoticeMs,
    );
    this.arrivals.splice(0);
  }

  /** Number of lines that the entry has logged with a message. */
  countLines(message: string): number {
    return this.platform.logEntries.filter((line) => line.message === message).length;
  }

  /** Writes the next version of the configuration, with some fields of the stream's route changed. */
  configure(change: object, isRouteKept = true): void {
    const { Routes, Services, ...rest } = createConfiguration(this.version, ['key-1']) as {
      Routes: { Name: string }[];
      Services: object[];
    };
    this.version += 1;
    const routes = Routes.map((route) =>
      route.Name === 'stream' ? { ...route, ...change } : route,
    );
    this.platform.store.write('op/config', {
      ...rest,
      Version: this.version,
      Routes: routes.filter(({ Name }) => isRouteKept || Name !== 'stream'),
      Services: Services.map((service) => ({ ...service, MaxConns: this.maxConnections })),
    });
  }

  /** Sends a stream that is interrupted. */
  sendStream(signal?: AbortSignal): Promise<CallerResponse> {
    return sendRequest(this.platform, '/stream/x', signal ? { signal } : {});
  }

  /** Occupies an endpoint with a stream that is not interrupted; returns when its endpoint has it. */
  async occupy(): Promise<void> {
    const before = this.arrivals.length;
    void sendRequest(this.platform, '/stream/long').catch(() => undefined);
    await eventually(() => this.arrivals.length > before, 'the endpoint has the long stream');
  }

  /** Sends a request that is not a stream; returns its status and how long its caller waited. */
  async sendPlain(): Promise<{ status: number; ms: number }> {
    const startedAt = performance.now();
    const { status } = await sendRequest(this.platform, '/safe/x');
    return { status, ms: performance.now() - startedAt };
  }

  /** Makes endpoints turn requests away, for a while. */
  async fill(endpoints: readonly BegunEndpoint[], forMs: number): Promise<void> {
    endpoints.forEach((endpoint) => Object.assign(endpoint, { isFull: true }));
    await sleep(forMs);
    endpoints.forEach((endpoint) => Object.assign(endpoint, { isFull: false }));
  }

  /** All endpoints but one. */
  except({ index }: BegunEndpoint): BegunEndpoint[] {
    return this.endpoints.filter((endpoint) => endpoint.index !== index);
  }

  /** Ends the process of an endpoint; the platform takes its registration away if `isNoticed`. */
  end(endpoint: BegunEndpoint, isNoticed: boolean): void {
    Object.assign(endpoint, { hasEnded: true });
    endpoint.engine.close();
    if (isNoticed) this.platform.store.remove(`servers/${endpoint.engine.id}`);
  }

  /** Starts the process of an endpoint again, at its port and under its name. */
  async restart(endpoint: BegunEndpoint): Promise<void> {
    await this.startEndpoint(endpoint);
    Object.assign(endpoint, { hasEnded: false });
  }

  /** Reports to the entry, as its agent does, that an endpoint is about to load other weights. */
  async reportSwitch({ engine }: BegunEndpoint): Promise<void> {
    const { firstPort, host } = this.platform.settings;
    if (!this.agent) {
      const metrics = new HistogramMetrics();
      this.agent = new FleetDatagrams('side-9', {}, new SystemClock(), metrics, silentLog);
      await this.agent.bind(agentHost, firstPort, this.agentAbort.signal);
    }
    const value = {
      address: engine.address,
      bornAt: 1_700_000_000_000n,
      pacePermille: 1_000,
      version: 1,
      isSwitching: true,
      isAnswering: true,
    };
    this.agent.send({ case: 'report', value }, host);
  }

  async close(): Promise<void> {
    this.agentAbort.abort();
    this.otherAbort.abort();
    this.endpoints.forEach(({ engine }) => engine.close());
    await this.platform.close();
  }

  private async startEndpoint(endpoint: BegunEndpoint): Promise<void> {
    const engine = await PlatformEngine.start(
      `e${endpoint.index}`,
      (request, response) => this.respond(endpoint, request, response),
      '127.0.0.1',
      endpoint.port ?? 0,
    );
    Object.assign(endpoint, { engine, port: Number(engine.address.split(':')[1]) });
    this.platform.registerEngine(engine, 'ready');
  }

  private async respond(
    endpoint: BegunEndpoint,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { engine, index } = endpoint;
    const isFull = this.refuses(endpoint, request);
    const id = String(request.headers['laburnumstream-request-id']);
    this.arrivals.push({ at: performance.now(), id, endpoint: index, isRun: !isFull });
    if (isFull) this.turnAway(endpoint, response, request);
    else if (request.url!.startsWith('/safe')) await Behaviours.answers(request, response, engine);
    else await this.stream(endpoint, request, response);
  }

  private async stream(
    endpoint: BegunEndpoint,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const isLong = request.url!.endsWith('/long');
    const lastId = Number(request.headers['last-event-id'] ?? 0);
    const headers = buildHeaders(request, endpoint.engine);
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    const { socket } = request;
    if (lastId > 0) await this.resume(endpoint, request);
    for (let id = lastId + 1; id <= eventCount && !socket.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: token ${id}\n\n`);
      await sleep(isLong ? longEventIntervalMs : eventIntervalMs);
      if (!isLong && lastId === 0 && id === lastBeforeBreak)
        await this.interrupt(endpoint, request);
    }
    if (!socket.destroyed) response.end();
  }
}

/** Resets the connection of a request, as an endpoint does that breaks it off. */
export async function breakOff({ socket }: IncomingMessage): Promise<void> {
  const closed = once(socket, 'close');
  socket.resetAndDestroy();
  await closed;
}
