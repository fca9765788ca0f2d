import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { hash32 } from '@laburnumstream/common';
import type { EngineOrder, Generation } from '@laburnumstream/common';
import { generationUnits } from '@laburnumstream/decisions';
import { HttpStandIn } from './httpStandIn.js';

/** Timing, capacity and checks of an {@link EngineStandIn}. */
export interface EngineBehaviour {
  /** Time to the first token, in milliseconds. */
  readonly prefillMs: number;
  /** Time between tokens, in milliseconds; 0 sends all tokens at once. */
  readonly tokenMs: number;
  /** Work units that a warm engine runs concurrently; more are queued by priority. */
  readonly capacity: number;
  /** Work units above which a cold engine crashes; a single request never crashes it. */
  readonly coldCapacity: number;
  /** Completed requests after which the engine is warm. */
  readonly warmAfter: number;
  /** Whether orders with an outdated fencing number are rejected. */
  readonly checksFencing: boolean;
  /** Delay between taking and sending a load report, in milliseconds. */
  readonly reportLagMs: number;
}

/** Behaviour used when a test specifies none. */
export const defaultEngineBehaviour: EngineBehaviour = {
  prefillMs: 0,
  tokenMs: 0,
  capacity: 64,
  coldCapacity: 4,
  warmAfter: 20,
  checksFencing: true,
  reportLagMs: 0,
};

/** One execution of a request on an engine. */
export interface EngineRun {
  readonly id: string;
  readonly prompt: string;
  readonly weights: string;
  readonly resumeFrom: number;
  readonly startedAt: number;
  readonly priority: number;
}

/** A request queued inside the engine. */
interface QueuedRequest {
  readonly units: number;
  readonly priority: number;
  readonly resume: () => void;
}

/** Prompts that contain this text crash the engine that runs them. */
export const crashingPrompt = 'CRASH-ENGINE';

const restartDelayMs = 300;

/** Returns the token at an index; it depends on the weights, so tests can tell them apart. */
export function computeToken(weights: string, prompt: string, index: number): string {
  return ` ${hash32(`${weights}\n${prompt}\n${index}`).toString(36)}`;
}

/** A stand-in for a model engine with cold starts, crashes and fenced orders. */
export class EngineStandIn extends HttpStandIn {
  readonly runs: EngineRun[] = [];

  /** Fencing numbers of the accepted orders, in order of arrival. */
  readonly acceptedFencings: number[] = [];

  /** Maximum work units held at once while cold; a request that ran alone is not counted. */
  maxUnitsWhileCold = 0;

  crashes = 0;

  /** Versions that the engine fails to load. */
  readonly unloadableVersions = new Set<string>();

  /** Requests held by the engine, running or queued. */
  running = 0;

  /** Work units of the held requests, running or queued. */
  runningUnits = 0;

  private readonly queue: QueuedRequest[] = [];

  /** Work units of the running requests. */
  private batchUnits = 0;

  private completedSinceColdStart = 0;

  private boot: string = randomUUID();

  /** Incremented by each restart; requests of an earlier incarnation are aborted. */
  private incarnation = 0;

  private weights = '';

  private contentDigest = '';

  private role = 'both';

  private highestFencing = 0;

  private readonly cancelled = new Set<string>();

  private readonly adapters = new Set<string>();

  constructor(readonly behaviour: EngineBehaviour = defaultEngineBehaviour) {
    super();
  }

  /** Digest of the loaded weights; empty when none are loaded. */
  get loadedDigest(): string {
    return this.weights;
  }

  get isCold(): boolean {
    return this.completedSinceColdStart < this.behaviour.warmAfter;
  }

  /** Drops the caches and changes the boot id without a restart; running requests continue. */
  turnCold(): void {
    this.completedSinceColdStart = 0;
    this.boot = randomUUID();
  }

  /** Drops the caches without changing the boot id, so that load reports do not reveal it. */
  turnColdSilently(): void {
    this.completedSinceColdStart = 0;
  }

  /** Restarts cold at once with the same weights; all requests and connections are lost. */
  restart(): void {
    this.turnCold();
    this.incarnation += 1;
    this.running = 0;
    this.runningUnits = 0;
    this.batchUnits = 0;
    this.queue.splice(0).forEach(({ resume }) => resume());
    this.closeConnections();
  }

  /** Crashes, losing all requests; restarts after a delay, cold and without weights. */
  crash(): void {
    this.crashes += 1;
    this.weights = '';
    this.contentDigest = '';
    this.faults.down = true;
    this.restart();
    setTimeout(() => {
      this.faults.down = false;
    }, restartDelayMs).unref();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: string,
  ): Promise<void> {
    const [, part, id = ''] = url.pathname.split('/');
    if (part === 'load') await this.sendLoad(response);
    else if (part === 'orders') await this.applyOrder(JSON.parse(body) as EngineOrder, response);
    else if (request.method === 'DELETE') {
      this.cancelled.add(id);
      this.send(response, 200);
    } else await this.generate(JSON.parse(body) as Generation, response);
  }

  private async sendLoad(response: ServerResponse): Promise<void> {
    const { capacity, coldCapacity, reportLagMs } = this.behaviour;
    const report = {
      boot: this.boot,
      running: this.running,
      queued: this.queue.length,
      capacity: this.isCold ? coldCapacity : capacity,
      weights: this.weights,
      adapters: [...this.adapters],
      role: this.role,
    };
    if (reportLagMs > 0) await sleep(reportLagMs);
    this.send(response, 200, report);
  }

  private async applyOrder(order: EngineOrder, response: ServerResponse): Promise<void> {
    if (this.behaviour.checksFencing && order.fencing < this.highestFencing) {
      this.send(response, 409);
      return;
    }
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    this.acceptedFencings.push(order.fencing);
    if (order.kind === 'role') this.role = order.role ?? this.role;
    const loaded = order.kind !== 'load' || (await this.load(order));
    this.send(response, loaded ? 200 : 422, loaded ? {} : { error: 'The content is corrupt.' });
  }

  private async load(order: EngineOrder): Promise<boolean> {
    if (this.unloadableVersions.has(order.manifest?.version ?? '')) return false;
    const response = await fetch(order.source ?? '');
    const content = Buffer.from(await response.arrayBuffer());
    const hash = createHash('sha256').update(content).digest('hex');
    if (hash !== order.manifest?.content) return false;
    if (order.manifest.kind === 'adapter') this.adapters.add(order.digest ?? '');
    else {
      this.weights = order.digest ?? '';
      this.contentDigest = hash;
      this.completedSinceColdStart = 0;
    }
    return true;
  }

  private async generate(generation: Generation, response: ServerResponse): Promise<void> {
    const { incarnation, weights } = this;
    if (!weights) {
      this.send(response, 503);
      return;
    }
    const { id, prompt, resumeFrom, maxTokens, priority } = generation;
    const units = generationUnits(prompt, maxTokens);
    this.running += 1;
    this.runningUnits += units;
    this.runs.push({ id, prompt, weights, resumeFrom, priority, startedAt: Date.now() });
    if (this.exceedsColdCapacity() || prompt.includes(crashingPrompt)) this.crash();
    await this.acquireCapacity(units, priority);
    const isComplete =
      this.incarnation === incarnation && (await this.stream(generation, response, incarnation));
    if (this.incarnation !== incarnation) {
      response.destroy();
      return;
    }
    this.running -= 1;
    this.runningUnits -= units;
    this.releaseCapacity(units);
    if (isComplete) this.completedSinceColdStart += 1;
  }

  /** Records the load of a cold engine and tells whether it exceeds the cold capacity. */
  private exceedsColdCapacity(): boolean {
    if (!this.isCold || this.running === 1) return false;
    this.maxUnitsWhileCold = Math.max(this.maxUnitsWhileCold, this.runningUnits);
    return this.runningUnits > this.behaviour.coldCapacity;
  }

  /** Waits until the batch has room for the request; higher priorities go first. */
  private async acquireCapacity(units: number, priority: number): Promise<void> {
    if (this.batchUnits > 0 && this.batchUnits + units > this.behaviour.capacity) {
      await new Promise<void>((resolve) => {
        const index = this.queue.findIndex((other) => other.priority < priority);
        const queued = { units, priority, resume: resolve };
        this.queue.splice(index < 0 ? this.queue.length : index, 0, queued);
      });
      return;
    }
    this.batchUnits += units;
  }

  private releaseCapacity(units: number): void {
    this.batchUnits -= units;
    while (this.queue[0]) {
      const next = this.queue[0];
      if (this.batchUnits > 0 && this.batchUnits + next.units > this.behaviour.capacity) return;
      this.queue.shift();
      this.batchUnits += next.units;
      next.resume();
    }
  }

  /** Streams tokens; returns false if a restart, a cancellation or a disconnect ends it early. */
  private async stream(
    generation: Generation,
    response: ServerResponse,
    incarnation: number,
  ): Promise<boolean> {
    const { prefillMs, tokenMs } = this.behaviour;
    const { contentDigest } = this;
    if (prefillMs > 0) await sleep(prefillMs);
    if (this.incarnation !== incarnation) return false;
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (let index = generation.resumeFrom; index < generation.maxTokens; index += 1) {
      if (tokenMs > 0 && index > generation.resumeFrom) await sleep(tokenMs);
      const isStopped =
        this.incarnation !== incarnation || response.destroyed || this.cancelled.has(generation.id);
      if (isStopped) return false;
      const text = computeToken(contentDigest, generation.prompt, index);
      response.write(`${JSON.stringify({ index, text })}\n`);
    }
    response.end(`${JSON.stringify({ end: true })}\n`);
    return true;
  }
}
