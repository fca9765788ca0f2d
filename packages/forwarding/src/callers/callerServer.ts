import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createListener } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Server as Listener, Socket } from 'node:net';
import { Aborted, NotFound, RouteKind, Unauthenticated, toFailure } from '@laburnumstream/common';
import type {
  Clock,
  Failure,
  Log,
  Metrics,
  Random,
  Route,
  Workspace,
} from '@laburnumstream/common';
import { pickService } from '@laburnumstream/decisions';
import type { RouteTable } from '@laburnumstream/decisions';
import { CallerConnections } from './callerConnections.js';
import { callerDisconnected, deadlineExceeded, processStopping } from './exchange.js';
import type { Exchange } from './exchange.js';
import type { FleetState } from '../fleet/fleetState.js';
import type { HeaderCodec } from './headerCodec.js';
import type { RequestHead } from './heads.js';
import { Refusal, RefusalReason, toDeadlineFailure } from './refusal.js';
import { readBody } from './requestBody.js';
import { RequestCounter } from './requestCounter.js';
import { toStopFailure } from './stopGate.js';
import type { StopGate } from './stopGate.js';

/** Forwards the requests of routes with one kind of retry semantics. */
export interface RequestForwarder {
  forward(exchange: Exchange): Promise<void>;
}

/** What the age of the current configuration permits. */
export interface FreshnessChecks {
  /** Whether keys of the configuration may still be accepted. */
  mayAcceptKeys(): boolean;
  /** Whether a caller may be told that a route or key does not exist. */
  mayReportMissing(): boolean;
  /** Time since the store confirmed that the configuration is the newest one, in milliseconds. */
  ageMs(): number;
}

/** Delay after which callers are asked to retry while this entry can't serve them, in milliseconds. */
const retryDelayMs = 700;
/** Time beyond the configured idle timeout after which connections are closed, in milliseconds. */
const idleSlackMs = 5_000;
const minIdleTimeoutMs = 60_000;
/** Turns of the event loop in which a connection is accepted and its request is read. */
const readTurns = 3;
/** Turns of the event loop in which the end of a connection is read that has arrived with a request. */
const disconnectTurns = 2;
/** Turns of the event loop after which what arrives is not waited for any longer. */
const maxReadTurns = 100;

/**
 * Aborts a request whose caller has left, and throws. After a time without the processor a request is read
 * before the end of its connection, although both have arrived.
 */
async function checkConnected(socket: Socket, controller: AbortController): Promise<void> {
  for (let turn = 0; turn < disconnectTurns; turn += 1) await nextTurn();
  if (socket.destroyed || socket.readableEnded) controller.abort(callerDisconnected);
  if (controller.signal.reason === callerDisconnected) throw new Aborted();
}

function getPath(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}

/** Receives callers' requests, authenticates them and passes them to the forwarder of their route. */
export class CallerServer {
  private readonly server: Server;

  /** Separate from `server`, whose close cuts responses that have not been sent in full. */
  private readonly listener: Listener;

  private readonly connections = new CallerConnections();

  /** Aborts the requests that are being handled, by their responses. */
  private readonly running = new Map<ServerResponse, AbortController>();

  private readonly counter: RequestCounter;

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
  ) {
    this.counter = new RequestCounter(metrics);
    this.server = createServer({ requestTimeout: 0 }, (request, response) => {
      void this.serve(request, response);
    });
    this.listener = createListener(
      { keepAlive: true, noDelay: true, allowHalfOpen: true },
      (socket) => {
        this.connections.add(socket);
        this.server.emit('connection', socket);
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
    return new Promise((resolve, reject) => {
      this.listener.once('error', reject);
      this.listener.listen(port, host, () => resolve());
    });
  }

  /** Applies the limits of the newest configuration. */
  applyLimits(): void {
    const limits = this.state.routes?.configuration.limits;
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
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const end = this.connections.begin(request.socket, response);
    // A request behind the last response of its connection could not be answered.
    if (!end) {
      request.resume();
      return;
    }
    try {
      await this.handle(request, response);
    } finally {
      this.running.delete(response);
      end();
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.clock.now();
    const head = this.codec.decodeRequestHead(request.headers);
    const controller = new AbortController();
    let route: Route | undefined;
    let timer: NodeJS.Timeout | undefined;
    this.running.set(response, controller);
    response.once('close', () => {
      if (!response.writableFinished) controller.abort(callerDisconnected);
    });
    try {
      const { routes } = this.state;
      const configurationAgeMs = this.freshness.ageMs();
      if (!routes) {
        const message = 'No configuration is known yet.';
        throw new Refusal(RefusalReason.noConfiguration, message, retryDelayMs);
      }
      route = this.findRoute(routes, request);
      const workspace = this.authenticate(routes, route, head);
      const timeoutMs = Math.min(head.timeLeftMs ?? route.timeoutMs, route.timeoutMs);
      timer = setTimeout(() => controller.abort(deadlineExceeded), timeoutMs);
      const deadlineAt = arrivedAt + timeoutMs;
      const refusal = this.gate.findRefusal(deadlineAt);
      if (refusal) throw refusal;
      const { signal } = controller;
      const body = await readBody(request, routes.configuration.limits.maxBodyBytes, signal);
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

  private findRoute(routes: RouteTable, { headers, url = '/' }: IncomingMessage): Route {
    const { host = '' } = headers;
    const route = routes.match(host.split(':')[0]!, getPath(url));
    if (!route) throw this.toMissingFailure(new NotFound('No route matches the host and path.'));
    return route;
  }

  /** Returns the workspace of the request's key; undefined if no key is required. */
  private authenticate(routes: RouteTable, route: Route, head: RequestHead): Workspace | undefined {
    if (route.isPublic || !routes.configuration.requiresKeys) return undefined;
    // A known key may have been revoked since, and an unknown one may have been added.
    if (!this.freshness.mayAcceptKeys()) {
      const ageMs = Math.round(this.freshness.ageMs());
      const message = `The proof of keys is ${ageMs} ms old.`;
      throw new Refusal(RefusalReason.oldProof, message, retryDelayMs);
    }
    if (head.key === undefined) throw new Unauthenticated('A key is required.');
    const workspace = routes.findWorkspace(head.key);
    if (!workspace) throw this.toMissingFailure(new Unauthenticated('The key is unknown.'));
    return workspace;
  }

  /** Returns the failure for an unknown route or key, or a refusal if it may have been added since. */
  private toMissingFailure(failure: Failure): Failure {
    if (this.freshness.mayReportMissing()) return failure;
    const ageMs = Math.round(this.freshness.ageMs());
    const message = `${failure.message} The configuration is ${ageMs} ms old.`;
    return new Refusal(RefusalReason.oldConfiguration, message, retryDelayMs);
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
    response.writeHead(status, [...headers, 'content-length', '0']);
    response.end();
  }

  private toCallerFailure(error: unknown, { reason }: AbortSignal): Failure {
    if (reason === deadlineExceeded) return toDeadlineFailure(error);
    return reason === processStopping ? toStopFailure(error, this.gate) : toFailure(error);
  }
}
