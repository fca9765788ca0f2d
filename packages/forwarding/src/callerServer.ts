import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { NotFound, RouteKind, TooLarge, Unauthenticated, toFailure } from '@laburnumstream/common';
import type {
  Clock,
  Failure,
  Log,
  Metrics,
  Random,
  Route,
  Workspace,
} from '@laburnumstream/common';
import { drawService } from '@laburnumstream/decisions';
import type { RouteTable } from '@laburnumstream/decisions';
import { callerLeft, deadlinePassed } from './exchange.js';
import type { Exchange } from './exchange.js';
import type { FleetState } from './fleetState.js';
import type { HeaderCodec } from './headerCodec.js';
import type { RequestHead } from './heads.js';
import { Refusal, RefusalReason, lateFailure } from './refusal.js';
import { RequestCounts } from './requestCounts.js';

/** Forwards requests of one way of repetition. */
export interface Forwarding {
  serve(exchange: Exchange): Promise<void>;
}

/** What the age of the configuration in use allows now. */
export interface ConfigurationChecks {
  /** Whether its keys may be honoured. */
  mayHonour(): boolean;
  /** Whether a caller may be told that a route or key is not there. */
  mayDeny(): boolean;
  /** Age of the proof that it is the newest one, in milliseconds. */
  ageMs(): number;
}

/** Delay after which a caller comes back when this entry can't serve yet, in milliseconds. */
const returnMs = 700;
/** Idle time beyond the operators' limit after which a caller's connection is closed. */
const idleSlackMs = 5_000;
const idleFloorMs = 60_000;

async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > maxBytes) throw new TooLarge(`The body is larger than ${maxBytes} bytes.`);
    parts.push(part);
  }
  return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}

function pathOf(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}

/** Takes callers' requests, checks them and hands them to the forwarding of their route. */
export class CallerServer {
  private readonly server: Server;

  private running = 0;

  private isLeaving = false;

  /** Whether a connection is closed as soon as it carries no request. */
  private isClosing = false;

  private readonly counts: RequestCounts;

  constructor(
    private readonly state: FleetState,
    private readonly checks: ConfigurationChecks,
    private readonly forwardings: Readonly<Record<RouteKind, Forwarding>>,
    private readonly codec: HeaderCodec,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.counts = new RequestCounts(metrics);
    this.server = createServer(
      { keepAlive: true, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: 5_000 },
      (request, response) => void this.handle(request, response),
    );
    this.applyLimits();
  }

  /** Requests that are being served. */
  get active(): number {
    return this.running;
  }

  /** Listens on an address; rejects when that fails. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Takes the limits of the newest configuration. */
  applyLimits(): void {
    const limits = this.state.routes?.configuration.limits;
    this.server.keepAliveTimeout = Math.max(
      idleFloorMs,
      (limits?.idleTimeoutMs ?? 0) + idleSlackMs,
    );
    this.server.headersTimeout = 0;
  }

  /** From now on each answer asks the caller to close its connection. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Takes no more connections and closes each one that carries no request, now or later. */
  closeIdle(): void {
    this.isClosing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.running += 1;
    const arrivedAt = this.clock.now();
    if (this.isLeaving) response.setHeader('connection', 'close');
    const head = this.codec.decodeRequestHead(request.headers);
    const owner = new AbortController();
    let route: Route | undefined;
    let timer: NodeJS.Timeout | undefined;
    response.once('close', () => {
      if (!response.writableFinished) owner.abort(callerLeft);
    });
    response.once('finish', () => this.isClosing && request.socket.destroySoon());
    try {
      const { routes } = this.state;
      if (!routes) {
        const message = 'No configuration is known yet.';
        throw new Refusal(RefusalReason.noConfiguration, message, returnMs);
      }
      route = this.findRoute(routes, request);
      const workspace = this.admit(routes, route, head);
      const waitsMs = Math.min(head.timeLeftMs ?? route.timeoutMs, route.timeoutMs);
      timer = setTimeout(() => owner.abort(deadlinePassed), waitsMs);
      const body = await readBody(request, routes.configuration.limits.maxBodyBytes);
      const service = drawService(route, this.random);
      if (service === undefined) throw new NotFound('The route leads to no service.');
      const { signal } = owner;
      const deadlineAt = arrivedAt + waitsMs;
      const exchange = {
        request,
        response,
        head,
        route,
        service,
        workspace,
        body,
        arrivedAt,
        deadlineAt,
        signal,
      };
      await this.forwardings[route.kind].serve(exchange);
      this.counts.forwarded(exchange);
    } catch (error) {
      this.fail(request, response, head, route, owner.signal, error);
    } finally {
      clearTimeout(timer);
      this.running -= 1;
      this.metrics.observe('request', this.clock.now() - arrivedAt);
    }
  }

  private findRoute(routes: RouteTable, { headers, url = '/' }: IncomingMessage): Route {
    const { host = '' } = headers;
    const route = routes.find(host.split(':')[0]!, pathOf(url));
    if (!route) throw this.denial(new NotFound('No route matches the host and path.'));
    return route;
  }

  /** The holder of the request's key; undefined where none is needed. */
  private admit(routes: RouteTable, route: Route, head: RequestHead): Workspace | undefined {
    if (route.isPublic || !routes.configuration.requiresKeys) return undefined;
    // A key that is known here may have been taken away, and an unknown one may have been added.
    if (!this.checks.mayHonour()) {
      const ageMs = Math.round(this.checks.ageMs());
      const message = `The proof of keys is ${ageMs} ms old.`;
      throw new Refusal(RefusalReason.oldProof, message, returnMs);
    }
    if (head.key === undefined) throw new Unauthenticated('A key is required.');
    const workspace = routes.workspaceOf(head.key);
    if (!workspace) throw this.denial(new Unauthenticated('The key is not known.'));
    return workspace;
  }

  /** The failure for what is not there, unless it may have been added since the last look. */
  private denial(failure: Failure): Failure {
    if (this.checks.mayDeny()) return failure;
    const ageMs = Math.round(this.checks.ageMs());
    const message = `${failure.message} The configuration is ${ageMs} ms old.`;
    return new Refusal(RefusalReason.oldConfiguration, message, returnMs);
  }

  private fail(
    request: IncomingMessage,
    response: ServerResponse,
    { id }: RequestHead,
    route: Route | undefined,
    signal: AbortSignal,
    error: unknown,
  ): void {
    if (signal.reason === callerLeft) {
      this.counts.left(route);
      this.log.info('Caller left.', { id });
      return;
    }
    const failure = signal.reason === deadlinePassed ? lateFailure(error) : toFailure(error);
    const { status, type, execution, retryAfterMs, message } = failure;
    this.counts.failed(route, failure);
    this.log.info('Request failed.', {
      id,
      status,
      type,
      execution,
      path: request.url,
      route: route?.name ?? null,
      isRepeatable: route === undefined || route.kind !== RouteKind.nonIdempotent,
      configuration: this.state.routes?.configuration.version ?? null,
      proofAgeMs: Math.round(this.checks.ageMs()),
      retryAfterMs: retryAfterMs === undefined ? null : Math.round(retryAfterMs),
      reason: message,
    });
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const headers = retryAfterMs === undefined ? [] : this.codec.encodeReturnTime(retryAfterMs);
    // The rest of a body that was not read would be taken for the next request.
    if (!request.complete) headers.push('connection', 'close');
    response.writeHead(status, [...headers, 'content-length', '0']);
    response.end();
  }
}
