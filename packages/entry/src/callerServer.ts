import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  InvalidInput,
  NotFound,
  Unauthenticated,
  Unavailable,
  operationEnded,
} from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import { ServiceKind, isIn, serviceOf } from '@laburnumstream/decisions';
import type { Configuration, ServiceDefinition } from '@laburnumstream/decisions';
import {
  getBearerToken,
  parseObject,
  readBody,
  sendFailure,
  sendJson,
  sha256,
} from '@laburnumstream/runtime';
import type { EntrySettings } from '@laburnumstream/runtime';
import { answerCall, collectAnswer, streamAnswer } from './answers.js';
import type { CallerRequest } from './callerRequest.js';
import type { RequestDispatcher } from './requestDispatcher.js';

const defaultMaxTokens = 256;
const mostTokens = 65_536;
const longestKey = 200;
/** Prompts that share this many first characters go to the same endpoint where it has room. */
const affinityPrefix = 64;
const retryAfterMs = 1_000;
/** Methods that change nothing. */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

const servicePath = /^\/v1\/services\/([a-z0-9-]+)\/(completions|calls)(\/.*)?$/;

function header(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function requireText(body: Record<string, unknown>, key: string): string {
  const value = body[key];
  if (typeof value === 'string' && value !== '') return value;
  throw new InvalidInput(`The field ${key} must be a non-empty text.`);
}

function tokenCount(value: unknown): number {
  if (value === undefined) return defaultMaxTokens;
  if (Number.isInteger(value) && Number(value) >= 1 && Number(value) <= mostTokens) {
    return Number(value);
  }
  throw new InvalidInput(`The field max_tokens must be a whole number from 1 to ${mostTokens}.`);
}

function sharedFields(request: IncomingMessage) {
  const idempotencyKey = header(request, 'idempotency-key');
  if (idempotencyKey.length > longestKey) {
    throw new InvalidInput(`The idempotency key is longer than ${longestKey} characters.`);
  }
  const nonIdempotent = header(request, 'non-idempotent') === 'true';
  return { id: randomUUID(), idempotencyKey, nonIdempotent };
}

type SharedFields = Omit<CallerRequest, 'work' | 'affinity' | 'fingerprint'>;

/** Digest of workspace, service and body: names requests that do the same. */
function fingerprintOf({ workspace, service }: SharedFields, work: CallerRequest['work']): string {
  return sha256(JSON.stringify([workspace, service, work]));
}

function generationRequest(shared: SharedFields, fields: Record<string, unknown>): CallerRequest {
  const prompt = requireText(fields, 'prompt');
  const adapter = typeof fields.adapter === 'string' ? fields.adapter : '';
  const value = { prompt, maxTokens: tokenCount(fields.max_tokens), adapter };
  const affinity = `${shared.service}\n${prompt.slice(0, affinityPrefix)}`;
  const work = { case: 'generation' as const, value };
  return { ...shared, fingerprint: fingerprintOf(shared, work), affinity, work };
}

function callRequest(
  shared: SharedFields,
  definition: ServiceDefinition,
  method: string,
  path: string,
  body: string,
): CallerRequest {
  const marked = (definition.nonIdempotentPaths ?? []).some((prefix) => path.startsWith(prefix));
  const changes = !safeMethods.has(method);
  const guarded = marked || shared.idempotencyKey !== '';
  const nonIdempotent = shared.nonIdempotent || (guarded && changes);
  const work = { case: 'call' as const, value: { method, path, body } };
  const fingerprint = fingerprintOf(shared, work);
  return { ...shared, nonIdempotent, fingerprint, affinity: '', work };
}

/** Workspaces by token hash, read once for each configuration. */
const hashTables = new WeakMap<Configuration, Map<string, string>>();

function workspacesByHash(configuration: Configuration): Map<string, string> {
  const known = hashTables.get(configuration);
  if (known) return known;
  const entries = Object.entries(configuration.workspaces).flatMap(([name, { tokenHashes }]) =>
    tokenHashes.map((hash) => [hash, name] as const),
  );
  const table = new Map(entries);
  hashTables.set(configuration, table);
  return table;
}

/** Serves callers: completions of model services and calls of plain services. */
export class CallerServer {
  private running = 0;

  private draining = false;

  constructor(
    private readonly settings: EntrySettings,
    private readonly configuration: () => Configuration,
    private readonly dispatcher: RequestDispatcher,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  get active(): number {
    return this.running;
  }

  /** Answers the balancer's readiness checks with 503 from now on; requests are still served. */
  drain(): void {
    this.draining = true;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.running += 1;
    const started = this.clock.now();
    // A leaving entry hands no connection back for another request.
    if (this.draining) response.setHeader('connection', 'close');
    try {
      const { pathname } = new URL(request.url ?? '/', 'http://entry');
      if (pathname === '/ready') this.sendReady(response);
      else await this.serve(pathname, request, response);
    } catch (error) {
      this.metrics.count('caller_failures');
      sendFailure(response, error);
    } finally {
      this.running -= 1;
      this.metrics.observe('caller_request', this.clock.now() - started);
    }
  }

  private sendReady(response: ServerResponse): void {
    const { dataCentre } = this.settings;
    const configuration = this.configuration();
    const ready = !this.draining && configuration.revision > 0 && isIn(configuration, dataCentre);
    sendJson(response, ready ? 200 : 503, { ready, revision: configuration.revision });
  }

  private async serve(
    pathname: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [, service = '', kind = '', path = '/'] = servicePath.exec(pathname) ?? [];
    if (!service) throw new NotFound(`There is no ${pathname}.`);
    const workspace = this.workspaceOf(request);
    const definition = serviceOf(this.configuration(), service);
    if ((kind === 'completions') !== (definition.kind === ServiceKind.model)) {
      throw new InvalidInput(`The service ${service} is not used under ${kind}.`);
    }
    const body = await readBody(request, this.settings.options.maxBodyBytes);
    const abort = new AbortController();
    const giveUp = (): void => abort.abort(operationEnded);
    const limit = setTimeout(giveUp, this.settings.options.requestTimeoutMs);
    response.on('close', () => {
      clearTimeout(limit);
      if (!response.writableFinished) giveUp();
    });
    const { signal } = abort;
    const shared = { ...sharedFields(request), workspace, service };
    if (kind === 'calls') {
      const call = callRequest(shared, definition, request.method ?? 'GET', path, body);
      await answerCall(this.dispatcher.dispatch(call, signal), response);
      return;
    }
    const fields = parseObject(body);
    const generation = generationRequest(shared, fields);
    const parts = this.dispatcher.dispatch(generation, signal);
    if (fields.stream === true) await streamAnswer(generation.id, parts, response, this.log);
    else await collectAnswer(generation.id, parts, response);
  }

  private workspaceOf(request: IncomingMessage): string {
    const configuration = this.configuration();
    if (configuration.revision === 0) {
      throw new Unavailable('No configuration is known yet.', retryAfterMs);
    }
    const workspace = workspacesByHash(configuration).get(sha256(getBearerToken(request)));
    if (!workspace) throw new Unauthenticated();
    return workspace;
  }
}
