import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Random } from '@laburnumstream/common';
import { PlatformEngine } from '@laburnumstream/standins';
import { misbehaviours, correctBehaviours, sendLateResponse } from './behaviours.js';
import type { Run, RunBehaviour, RunningEngine } from './behaviours.js';
import { checkReceived } from './checks.js';
import { SoakRule } from './history.js';
import type { SoakHistory } from './history.js';
import { SoakBounds, SoakService } from './shape.js';
import { EngineWeights } from './weights.js';

const maxRunning = 32;
const slots = 16;

function getHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[`laburnumstream-${name}`];
  return Array.isArray(value) ? value[0] : value;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts);
}

/** Context that all engines of a soak share. */
export interface EngineContext {
  readonly history: SoakHistory;
  readonly random: Random;
  /** Whether a key was already revoked when a request was sent; `sentAt` is in run time. */
  readonly isKeyRevoked: (key: string, sentAt: number) => boolean;
}

/** A simulated engine that records and checks its requests, and misbehaves on demand. */
export class SoakEngine implements RunningEngine {
  bornAt = Date.now();

  /** Share of requests handled by a faulty behaviour, from 0 to 1. */
  misbehaviourShare = 0;

  /** Whether it accepts connections but never responds. */
  isSilent = false;

  /** Whether its process has crashed. */
  isDown = false;

  isDraining = false;

  /** Run time in milliseconds after which no request may reach it. */
  drainedAt = Infinity;

  running = 0;

  readonly weights: EngineWeights | undefined;

  private incarnation = 1;

  private engine: PlatformEngine | undefined;

  constructor(
    readonly name: string,
    readonly service: string,
    private readonly context: EngineContext,
    /** Called when its registration has changed. */
    private readonly onRegistrationChange: () => void,
  ) {
    const isModel = service === SoakService.model;
    const onViolation = (text: string): void =>
      this.context.history.recordViolation(SoakRule.weights, `${this.name}: ${text}`);
    this.weights = isModel
      ? new EngineWeights(() => this.running, onRegistrationChange, onViolation)
      : undefined;
  }

  /** Changes with each restart. */
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

  reportVersionChange(id: string, from: number, to: number): void {
    // A restarted engine has no weights; the run ended with the old process.
    if (to === 0) return;
    const text = `${id} at ${this.id} went from version ${from} to ${to}`;
    this.context.history.recordViolation(SoakRule.version, text);
  }

  /** Simulates a crash: all connections close and running requests are lost. */
  crash(): void {
    this.context.history.beginFault([this.name])();
    this.isDown = true;
    this.running = 0;
    this.engine?.closeConnections();
  }

  /** Restarts under a new id; a model engine restarts without weights. */
  restart(): void {
    this.incarnation += 1;
    this.bornAt = Date.now();
    this.isDown = false;
    this.isDraining = false;
    this.drainedAt = Infinity;
    this.weights?.reset();
    this.onRegistrationChange();
  }

  close(): void {
    this.engine?.close();
  }

  /** Builds its registration in the store, with the address that entries connect to. */
  buildRegistration(address: string): object {
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
    if (path.startsWith('/-/')) await this.handleAgentCall(request, response, path);
    else await this.handleRequest(request, response, path);
  }

  private async handleAgentCall(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    const result = this.weights?.handleCall(path, body, {
      born: this.bornAt,
      Active: this.running,
      Queued: 0,
      pace: 1,
    });
    response.writeHead(result?.status ?? 404, { 'content-type': 'application/json' });
    response.end(result?.body);
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    sendLateResponse(request.socket);
    const id = getHeader(request, 'request-id') ?? '';
    const { history } = this.context;
    const sent = history.recordArrival(id, this.service);
    this.checkDrain(request, id, sent?.entry ?? '');
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined || response.destroyed) return;
    const rejection = this.getRejectionStatus(request);
    if (rejection !== undefined) {
      response.writeHead(rejection, { 'laburnumstream-not-executed': '1' });
      response.end();
      return;
    }
    checkReceived(history, id, sent, {
      path,
      body: body.toString(),
      workspace: getHeader(request, 'tenant'),
      timeLeftMs: Number(getHeader(request, 'deadline-ms')),
      hasKey: request.headers.authorization !== undefined,
    });
    history.recordRun(id, this.name);
    if (sent && this.context.isKeyRevoked(sent.key, sent.sentAt)) {
      history.recordViolation(SoakRule.key, `${id} at ${sent.entry} ran with ${sent.key}`);
    }
    await this.run({ id, request, response, engine: this });
  }

  /** Reports a request to a drained engine, unless a fault may have hidden the drain. */
  private checkDrain(request: IncomingMessage, id: string, entry: string): void {
    const { history } = this.context;
    const isAddressed = getHeader(request, 'expect-instance') === this.id;
    if (!isAddressed || history.now() <= this.drainedAt) return;
    const undisturbedMs = SoakBounds.undisturbedMs + SoakBounds.drainMs;
    if (!history.isUndisturbed([entry, 'store', this.name], undisturbedMs)) return;
    history.recordViolation(SoakRule.drain, `${id} by ${entry} reached ${this.id} after its drain`);
  }

  /** Returns the status that rejects a request without executing it; undefined to execute it. */
  private getRejectionStatus(request: IncomingMessage): number | undefined {
    const expected = getHeader(request, 'expect-instance');
    const version = getHeader(request, 'expect-version');
    if (expected !== undefined && expected !== this.id) return 421;
    if (this.weights && this.weights.version === 0) return 421;
    if (version !== undefined && Number(version) !== this.weights?.version) return 421;
    if (this.weights?.isLoading || this.running >= maxRunning) return 503;
    return undefined;
  }

  private async run(run: Run): Promise<void> {
    const { incarnation } = this;
    this.running += 1;
    try {
      await this.chooseBehaviour()(run);
    } finally {
      if (incarnation === this.incarnation && !this.isDown) this.running -= 1;
      if (this.running === 0) this.weights?.loadIfIdle();
    }
  }

  private chooseBehaviour(): RunBehaviour {
    const { random } = this.context;
    if (random.next() >= this.misbehaviourShare) return correctBehaviours[this.service]!;
    const kinds = misbehaviours[this.service]!;
    return kinds[Math.floor(random.next() * kinds.length)]!;
  }
}
