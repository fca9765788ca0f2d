import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Random } from '@laburnumstream/common';
import { PlatformEngine } from '@laburnumstream/standins';
import { misbehaviours, rightBehaviours, sendLateAnswer } from './behaviours.js';
import type { Run, RunBehaviour, RunningEngine } from './behaviours.js';
import { checkReceived } from './checks.js';
import { SoakRule } from './history.js';
import type { SoakHistory } from './history.js';
import { SoakBounds, SoakService } from './shape.js';
import { EngineWeights } from './weights.js';

const mostRunning = 32;
const slots = 16;

function textOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[`laburnumstream-${name}`];
  return Array.isArray(value) ? value[0] : value;
}

async function bodyOf(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts);
}

/** What a soak's engines share. */
export interface EngineContext {
  readonly history: SoakHistory;
  readonly random: Random;
  /** When a key was taken away, in milliseconds of the run. */
  readonly keyGone: (key: string, sentAt: number) => boolean;
}

/** An engine that keeps account of what it runs, and misbehaves when it is told to. */
export class SoakEngine implements RunningEngine {
  bornAt = Date.now();

  /** Share of requests with which it misbehaves. */
  misbehaves = 0;

  /** Whether it accepts connections and answers nothing. */
  isSilent = false;

  /** Whether its process is gone. */
  isDown = false;

  isDraining = false;

  /** Time of the run after which no request may reach it, in milliseconds. */
  goneAt = Infinity;

  running = 0;

  readonly weights: EngineWeights | undefined;

  private incarnation = 1;

  private engine: PlatformEngine | undefined;

  constructor(
    readonly name: string,
    readonly service: string,
    private readonly context: EngineContext,
    /** Called when what it registers has changed. */
    private readonly onChange: () => void,
  ) {
    const isModel = service === SoakService.model;
    const broken = (text: string): void =>
      this.context.history.violate(SoakRule.weights, `${this.name}: ${text}`);
    this.weights = isModel ? new EngineWeights(() => this.running, onChange, broken) : undefined;
  }

  /** Changes with each start. */
  get id(): string {
    return `${this.name}-${this.incarnation}`;
  }

  get address(): string {
    return this.engine?.address ?? '';
  }

  async start(): Promise<this> {
    this.engine = await PlatformEngine.start(this.name, (request, response) =>
      this.handle(request, response),
    );
    return this;
  }

  get version(): number {
    return this.weights?.version ?? 0;
  }

  mixed(id: string, from: number, to: number): void {
    // An engine that has started anew holds nothing; the run has ended with its old process.
    if (to === 0) return;
    const text = `${id} at ${this.id} went from version ${from} to ${to}`;
    this.context.history.violate(SoakRule.version, text);
  }

  /** Ends as a process does that is killed. */
  crash(): void {
    this.context.history.disturb([this.name])();
    this.isDown = true;
    this.running = 0;
    this.engine?.closeConnections();
  }

  /** Starts again with another id, empty when it is a model engine. */
  restart(): void {
    this.incarnation += 1;
    this.bornAt = Date.now();
    this.isDown = false;
    this.isDraining = false;
    this.goneAt = Infinity;
    this.weights?.forget();
    this.onChange();
  }

  close(): void {
    this.engine?.close();
  }

  /** What it registers in the store, at the address under which entries reach it. */
  registration(address: string): object {
    return {
      Service: this.service,
      Address: address,
      Zone: 'a',
      Slots: slots,
      State: this.isDraining ? 'draining' : 'ready',
      born: this.bornAt,
      ...(this.weights ? { layers: this.weights.layers } : {}),
    };
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (this.isDown) {
      request.socket.destroy();
      return;
    }
    if (this.isSilent) return;
    const path = request.url ?? '/';
    if (path.startsWith('/-/')) await this.serveAgent(request, response, path);
    else await this.serveRequest(request, response, path);
  }

  private async serveAgent(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    const body = await bodyOf(request).catch(() => undefined);
    if (body === undefined) return;
    const answer = this.weights?.serve(path, body, {
      born: this.bornAt,
      Active: this.running,
      Queued: 0,
      pace: 1,
    });
    response.writeHead(answer?.status ?? 404, { 'content-type': 'application/json' });
    response.end(answer?.body);
  }

  private async serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    sendLateAnswer(request.socket);
    const id = textOf(request, 'request-id') ?? '';
    const { history } = this.context;
    const sent = history.reached(id, this.service);
    this.checkDrain(request, id, sent?.entry ?? '');
    const body = await bodyOf(request).catch(() => undefined);
    if (body === undefined || response.destroyed) return;
    const refusal = this.refusal(request);
    if (refusal !== undefined) {
      response.writeHead(refusal, { 'laburnumstream-not-executed': '1' });
      response.end();
      return;
    }
    checkReceived(history, id, sent, {
      path,
      body: body.toString(),
      workspace: textOf(request, 'tenant'),
      timeLeftMs: Number(textOf(request, 'deadline-ms')),
      hasKey: request.headers.authorization !== undefined,
    });
    history.ran(id, this.name);
    if (sent && this.context.keyGone(sent.key, sent.sentAt)) {
      history.violate(SoakRule.key, `${id} at ${sent.entry} ran with ${sent.key}`);
    }
    await this.run({ id, request, response, engine: this });
  }

  /** Entries that can hear of it send nothing to an engine that has left. */
  private checkDrain(request: IncomingMessage, id: string, entry: string): void {
    const { history } = this.context;
    const isMeant = textOf(request, 'expect-instance') === this.id;
    if (!isMeant || history.now() <= this.goneAt) return;
    const quietMs = SoakBounds.contactMs + SoakBounds.drainMs;
    if (!history.isQuiet([entry, 'store', this.name], quietMs)) return;
    history.violate(SoakRule.drain, `${id} by ${entry} reached ${this.id} after its end`);
  }

  /** The status with which a request is refused and not run. */
  private refusal(request: IncomingMessage): number | undefined {
    const expected = textOf(request, 'expect-instance');
    const version = textOf(request, 'expect-version');
    if (expected !== undefined && expected !== this.id) return 421;
    if (this.weights && this.weights.version === 0) return 421;
    if (version !== undefined && Number(version) !== this.weights?.version) return 421;
    if (this.weights?.isBusy || this.running >= mostRunning) return 503;
    return undefined;
  }

  private async run(run: Run): Promise<void> {
    const { incarnation } = this;
    this.running += 1;
    try {
      await this.behaviour()(run);
    } finally {
      if (incarnation === this.incarnation && !this.isDown) this.running -= 1;
      if (this.running === 0) this.weights?.idle();
    }
  }

  private behaviour(): RunBehaviour {
    const { random } = this.context;
    if (random.next() >= this.misbehaves) return rightBehaviours[this.service]!;
    const kinds = misbehaviours[this.service]!;
    return kinds[Math.floor(random.next() * kinds.length)]!;
  }
}
