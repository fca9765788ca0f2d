import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createListener } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Server as Listener, Socket } from 'node:net';
import { Aborted, NotFound, RouteKind, toFailure } from '@laburnumstream/common';
import type {
  CallerLimits,
  Clock,
  Failure,
  Log,
  Metrics,
  Random,
  Route,
} from '@laburnumstream/common';
import { MemoryBudget, pickService } from '@laburnumstream/decisions';
import { checkHeaders } from './requestHeaders.js';
import { callerBoundsWithin } from './callerBounds.js';
import type { CallerBounds } from './callerBounds.js';
import { CallerConnections } from './callerConnections.js';
import type { CloseReason } from './callerConnections.js';
import { callerDisconnected, deadlineExceeded, processStopping } from './exchange.js';
import type { Exchange } from './exchange.js';
import type { FleetState } from '../fleet/fleetState.js';
import type { HeaderCodec } from './headerCodec.js';
import type { RequestHead } from './heads.js';
import { Refusal, RefusalReason, storeRetryDelayMs, toDeadlineFailure } from './refusal.js';
import { RouteAccess } from './routeAccess.js';
import type { FreshnessChecks } from './routeAccess.js';
import { TooManyParts, readBody } from './requestBody.js';
import type { BodyLimits } from './requestBody.js';
import { RequestCounter } from './requestCounter.js';
import { toStopFailure } from './stopGate.js';
import type { StopGate } from './stopGate.js';

/** Forwards the requests of routes with one kind of retry semantics. */
export interface RequestForwarder {
  forward(exchange: Exchange): Promise<void>;
}

/** Time beyond the configured idle timeout after which connections are closed, in milliseconds. */
const idleSlackMs = 5_000;
const minIdleTimeoutMs = 60_000;
/** Turns of the event loop in which a connection is accepted and its request is read. */
const readTurns = 3;
/** Turns of the event loop in which the end of a connection is read that has arrived with a request. */
const disconnectTurns = 2;
/** Turns of the event loop after which what arrives is not waited for any longer. */
const maxReadTurns = 100;
/** Memory of a request besides headers, body and response, in bytes: objects of the HTTP server, timers. */
const requestBytes = 4_096;
/** Memory of the name or the value of a header, in bytes. */
const headerPartBytes = 64;

/**
 * Aborts a request whose caller has left, and throws. After a time without the processor a request is read
 * before the end of its connection, although both have arrived.
 */
async function checkConnected(socket: Socket, controller: AbortController): Promise<void> {
  for (let turn = 0; turn < disconnectTurns; turn += 1) await nextTurn();
  if (socket.destroyed || socket.readableEnded) controller.abort(callerDisconnected);
  if (controller.signal.reason === callerDisconnected) throw new Aborted();
}

/** Returns the refusal of a request whose unfinished body is dropped because memory is short. */
function toMemoryRefusal(): Refusal {
  const message = 'Too much is held for callers.';
  return new Refusal(RefusalReason.memory, message, storeRetryDelayMs);
}

/** Returns the memory that a request takes until it is read, in bytes. */
function getHeldBytes({ rawHeaders, url = '', readableLength }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, part) => sum + part.length, url.length);
  return requestBytes + rawHeaders.length * headerPartBytes + textBytes + readableLength;
}

/** Receives callers' requests, authenticates them and passes them to the forwarder of their route. */
export class CallerServer {
  private readonly server: Server;

  /** Separate from `server`, whose close cuts responses that have not been sent in full. */
  private readonly listener: Listener;

  private readonly connections: CallerConnections;

  /** Aborts the requests that are being handled, by their responses. */
  private readonly running = new Map<ServerResponse, AbortController>();

  private readonly counter: RequestCounter;

  private readonly access: RouteAccess;

  constructor(
    private readonly state: FleetState,
    private readonly freshness: FreshnessChecks,
    private readonly forwarders: Readonly<Record<RouteKind, RequestForwarder>>,
    private readonly codec: HeaderCodec,
    private readonly gate: StopGate,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
    private readonly bounds: CallerBounds = callerBoundsWithin(Infinity),
    budget = new MemoryBudget(bounds.memoryBytes),
  ) {
    this.connections = new CallerConnections(bounds, budget, clock, (reason, socket) =>
      this.recordClosed(reason, socket),
    );
    this.counter = new RequestCounter(metrics);
    this.access = new RouteAccess(state, freshness);
    this.server = createServer({ requestTimeout: 0 }, (request, response) => {
      void this.serve(request, response);
    });
    // Further headers are not kept; a request that has them is refused.
    this.server.maxHeadersCount = bounds.maxHeaders + 1;
    this.listener = createListener(
      { keepAlive: true, noDelay: true, allowHalfOpen: true },
      (socket) => {
        if (this.connections.add(socket)) this.server.emit('connection', socket);
      },
    );
    this.applyLimits();
  }

  /** Number of requests that are being served; the last byte of the response ends the service. */
  get active(): number {
    return this.connections.activeRequests;
  }

  /** Starts listening; rejects if the address can't be bound. */
  listen(host: string, port: number): Promise<void> {
    this.connections.startSweep(() => ({
      headMs: Math.max(this.bounds.headTimeoutMs, this.limits?.headerTimeoutMs ?? 0),
      silentMs: this.server.keepAliveTimeout,
    }));
    return new Promise((resolve, reject) => {
      this.listener.once('error', reject);
      this.listener.listen(port, host, () => resolve());
    });
  }

  /** Applies the limits of the newest configuration. */
  applyLimits(): void {
    const { limits } = this;
    this.server.keepAliveTimeout = Math.max(
      minIdleTimeoutMs,
      (limits?.idleTimeoutMs ?? 0) + idleSlackMs,
    );
    this.server.headersTimeout = 0;
  }

  /** From now on, the last response on each connection says that it closes. */
  startDraining(): void {
    this.connections.startDraining();
  }

  /** Closes each connection that has been used as soon as it is idle. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /** Ends the requests whose callers have not received anything with a final answer. */
  abortUnanswered(): void {
    [...this.running]
      .filter(([response]) => !response.headersSent)
      .forEach(([, controller]) => controller.abort(processStopping));
  }

  /**
   * Accepts and reads what has arrived. After a time without the processor, timers run before that, and
   * what closes a connection or the listener then would reset requests unread.
   */
  async readArrived(): Promise<void> {
    let { arrivalCount } = this.connections;
    for (let quiet = 0, turns = 0; quiet < readTurns && turns < maxReadTurns; turns += 1) {
      await nextTurn();
      quiet = this.connections.arrivalCount === arrivalCount ? quiet + 1 : 0;
      ({ arrivalCount } = this.connections);
    }
  }

  /** Stops accepting connections. */
  close(): void {
    this.listener.close();
    this.connections.stopSweep();
  }

  private get limits(): CallerLimits | undefined {
    return this.state.routes?.configuration.limits;
  }

  private getBodyLimits({ maxBodyBytes: maxBytes }: CallerLimits): BodyLimits {
    const { maxParts, bytesPerPart } = this.bounds;
    return { maxBytes, maxParts, bytesPerPart };
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const arrivedAt = this.clock.now();
    // Created at the start, as many queued requests are never started.
    let controller: AbortController | undefined;
    const isBegun = this.connections.begin(socket, {
      response,
      bytes: getHeldBytes(request),
      start: () => {
        controller = new AbortController();
        void this.run(request, response, controller, arrivedAt);
      },
      abort: () => controller?.abort(callerDisconnected),
      refuse: () => {
        if (!controller || request.complete || response.headersSent) return false;
        controller.abort(toMemoryRefusal());
        return true;
      },
    });
    // A request behind the last response of its connection could not be answered.
    if (!isBegun && !socket.destroyed) request.resume();
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
    controller: AbortController,
    arrivedAt: number,
  ): Promise<void> {
    const { socket } = request;
    const setHeld = this.connections.trackMemory(socket);
    try {
      await this.handle(request, response, controller, arrivedAt, setHeld);
    } finally {
      this.running.delete(response);
      this.connections.end(socket, response);
      // What the caller has not taken yet stays in memory; what it sent does not.
      setHeld(response.writableFinished ? 0 : response.writableLength);
      response.once('finish', () => setHeld(0));
    }
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    controller: AbortController,
    arrivedAt: number,
    setHeld: (bytes: number) => void,
  ): Promise<void> {
    const head = this.codec.decodeRequestHead(request.headers);
    let route: Route | undefined;
    let timer: NodeJS.Timeout | undefined;
    this.running.set(response, controller);
    response.once('close', () => {
      if (!response.writableFinished) controller.abort(callerDisconnected);
    });
    try {
      checkHeaders(request, this.bounds.maxHeaders);
      await this.access.awaitStore(request, head, controller.signal);
      const { routes } = this.state;
      const configurationAgeMs = this.freshness.ageMs();
      if (!routes) {
        const message = 'No configuration is known yet.';
        throw new Refusal(RefusalReason.noConfiguration, message, storeRetryDelayMs);
      }
      route = this.access.findRoute(routes, request);
      const workspace = this.access.authenticate(routes, route, head);
      this.connections.setWorkspace(request.socket, workspace?.name);
      const timeoutMs = Math.min(head.timeLeftMs ?? route.timeoutMs, route.timeoutMs);
      const deadlineAt = arrivedAt + timeoutMs;
      timer = setTimeout(
        () => controller.abort(deadlineExceeded),
        Math.max(0, deadlineAt - this.clock.now()),
      );
      const refusal = this.gate.findRefusal(deadlineAt);
      if (refusal) throw refusal;
      const { signal } = controller;
      const bodyLimits = this.getBodyLimits(routes.configuration.limits);
      const body = await readBody(request, bodyLimits, signal, setHeld);
      await checkConnected(request.socket, controller);
      const service = pickService(route, this.random);
      if (service === undefined) throw new NotFound('The route has no service.');
      const exchange = {
        request,
        response,
        head,
        route,
        service,
        workspace,
        hasKeys: routes.configuration.requiresKeys,
        body,
        configurationVersion: routes.configuration.version,
        configurationAgeMs,
        arrivedAt,
        deadlineAt,
        signal,
      };
      await this.forwarders[route.kind].forward(exchange);
      this.counter.countForwarded(exchange);
    } catch (error) {
      this.handleFailure(request, response, head, route, controller.signal, error);
    } finally {
      clearTimeout(timer);
      this.metrics.observe('request', this.clock.now() - arrivedAt);
    }
  }

  private handleFailure(
    request: IncomingMessage,
    response: ServerResponse,
    { id }: RequestHead,
    route: Route | undefined,
    signal: AbortSignal,
    error: unknown,
  ): void {
    if (signal.reason === callerDisconnected) {
      this.counter.countDisconnected(route);
      this.log.info('Caller disconnected.', { id });
      return;
    }
    const failure = this.toCallerFailure(error, signal);
    const { status, type, execution, retryAfterMs, message } = failure;
    this.counter.countFailed(route, failure);
    this.log.info('Request failed.', {
      id,
      status,
      type,
      execution,
      path: request.url,
      route: route?.name ?? null,
      isRepeatable: route === undefined || route.kind !== RouteKind.nonIdempotent,
      configuration: this.state.routes?.configuration.version ?? null,
      proofAgeMs: Math.round(this.freshness.ageMs()),
      retryAfterMs: retryAfterMs === undefined ? null : Math.round(retryAfterMs),
      reason: message,
    });
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const headers = retryAfterMs === undefined ? [] : this.codec.encodeRetryAfter(retryAfterMs);
    // The unread rest of the body would be parsed as the next request.
    if (!request.complete) this.connections.markLast(request.socket, response);
    if (error instanceof TooManyParts) this.connections.stopReading(request.socket);
    response.writeHead(status, [...headers, 'content-length', '0']);
    response.end();
  }

  private recordClosed(reason: CloseReason, { remoteAddress }: Socket): void {
    this.metrics.count('connections_closed', { listener: 'callers', reason });
    this.log.info('Connection closed at a bound.', { reason, address: remoteAddress ?? null });
  }

  private toCallerFailure(error: unknown, { reason }: AbortSignal): Failure {
    if (reason instanceof Refusal) return reason;
    if (reason === deadlineExceeded) return toDeadlineFailure(error);
    return reason === processStopping ? toStopFailure(error, this.gate) : toFailure(error);
  }
}
