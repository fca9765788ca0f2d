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
import { ServiceKind, isDataCentreInService, getService } from '@laburnumstream/decisions';
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
import { sendCallResponse, sendCompletion, streamCompletion } from './responses.js';
import type { CallerRequest } from './callerRequest.js';
import type { RequestDispatcher } from './requestDispatcher.js';

const defaultMaxTokens = 256;
const maxTokensLimit = 65_536;
const maxKeyLength = 200;
/** Prompts with the same first characters, up to this length, prefer the same endpoint. */
const affinityPrefixLength = 64;
const retryAfterMs = 1_000;
/** Methods without side effects. */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

const servicePath = /^\/v1\/services\/([a-z0-9-]+)\/(completions|calls)(\/.*)?$/;

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function requireString(body: Record<string, unknown>, key: string): string {
  const value = body[key];
  if (typeof value === 'string' && value !== '') return value;
  throw new InvalidInput(`The field ${key} must be a non-empty text.`);
}

function parseMaxTokens(value: unknown): number {
  if (value === undefined) return defaultMaxTokens;
  if (Number.isInteger(value) && Number(value) >= 1 && Number(value) <= maxTokensLimit) {
    return Number(value);
  }
  throw new InvalidInput(
    `The field max_tokens must be a whole number from 1 to ${maxTokensLimit}.`,
  );
}

function parseSharedFields(request: IncomingMessage) {
  const idempotencyKey = getHeader(request, 'idempotency-key');
  if (idempotencyKey.length > maxKeyLength) {
    throw new InvalidInput(`The idempotency key is longer than ${maxKeyLength} characters.`);
  }
  const nonIdempotent = getHeader(request, 'non-idempotent') === 'true';
  return { id: randomUUID(), idempotencyKey, nonIdempotent };
}

type SharedFields = Omit<CallerRequest, 'work' | 'affinity' | 'fingerprint'>;

/** Digest of workspace, service and work; equal for requests that do the same work. */
function computeFingerprint(
  { workspace, service }: SharedFields,
  work: CallerRequest['work'],
): string {
  return sha256(JSON.stringify([workspace, service, work]));
}

function createGenerationRequest(
  shared: SharedFields,
  fields: Record<string, unknown>,
): CallerRequest {
  const prompt = requireString(fields, 'prompt');
  const adapter = typeof fields.adapter === 'string' ? fields.adapter : '';
  const value = { prompt, maxTokens: parseMaxTokens(fields.max_tokens), adapter };
  const affinity = `${shared.service}\n${prompt.slice(0, affinityPrefixLength)}`;
  const work = { case: 'generation' as const, value };
  return { ...shared, fingerprint: computeFingerprint(shared, work), affinity, work };
}

function createCallRequest(
  shared: SharedFields,
  definition: ServiceDefinition,
  method: string,
  path: string,
  body: string,
): CallerRequest {
  const isGuardedPath = (definition.nonIdempotentPaths ?? []).some((prefix) =>
    path.startsWith(prefix),
  );
  const isUnsafe = !safeMethods.has(method);
  const isGuarded = isGuardedPath || shared.idempotencyKey !== '';
  const nonIdempotent = shared.nonIdempotent || (isGuarded && isUnsafe);
  const work = { case: 'call' as const, value: { method, path, body } };
  const fingerprint = computeFingerprint(shared, work);
  return { ...shared, nonIdempotent, fingerprint, affinity: '', work };
}

/** Workspace names by token hash, built once for each configuration. */
const workspaceTables = new WeakMap<Configuration, Map<string, string>>();

function getWorkspacesByHash(configuration: Configuration): Map<string, string> {
  const cached = workspaceTables.get(configuration);
  if (cached) return cached;
  const entries = Object.entries(configuration.workspaces).flatMap(([name, { tokenHashes }]) =>
    tokenHashes.map((hash) => [hash, name] as const),
  );
  const table = new Map(entries);
  workspaceTables.set(configuration, table);
  return table;
}

/** HTTP server for callers: completions of model services and calls of plain services. */
export class CallerServer {
  private activeRequests = 0;

  private draining = false;

  constructor(
    private readonly settings: EntrySettings,
    private readonly configuration: () => Configuration,
    private readonly dispatcher: RequestDispatcher,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Number of requests being served. */
  get activeCount(): number {
    return this.activeRequests;
  }

  /** Responds to readiness checks with 503 from now on; requests are still served. */
  startDraining(): void {
    this.draining = true;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.activeRequests += 1;
    const started = this.clock.now();
    // No keep-alive while draining, so that callers open their next connection to another entry.
    if (this.draining) response.setHeader('connection', 'close');
    try {
      const { pathname } = new URL(request.url ?? '/', 'http://entry');
      if (pathname === '/ready') this.sendReadiness(response);
      else await this.serve(pathname, request, response);
    } catch (error) {
      this.metrics.count('caller_failures');
      sendFailure(response, error);
    } finally {
      this.activeRequests -= 1;
      this.metrics.observe('caller_request', this.clock.now() - started);
    }
  }

  private sendReadiness(response: ServerResponse): void {
    const { dataCentre } = this.settings;
    const configuration = this.configuration();
    const ready =
      !this.draining &&
      configuration.revision > 0 &&
      isDataCentreInService(configuration, dataCentre);
    sendJson(response, ready ? 200 : 503, { ready, revision: configuration.revision });
  }

  private async serve(
    pathname: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [, service = '', kind = '', path = '/'] = servicePath.exec(pathname) ?? [];
    if (!service) throw new NotFound(`There is no ${pathname}.`);
    const workspace = this.authenticateWorkspace(request);
    const definition = getService(this.configuration(), service);
    if ((kind === 'completions') !== (definition.kind === ServiceKind.model)) {
      throw new InvalidInput(`The service ${service} is not used under ${kind}.`);
    }
    const body = await readBody(request, this.settings.options.maxBodyBytes);
    const abort = new AbortController();
    const abortRequest = (): void => abort.abort(operationEnded);
    const timer = setTimeout(abortRequest, this.settings.options.requestTimeoutMs);
    response.on('close', () => {
      clearTimeout(timer);
      if (!response.writableFinished) abortRequest();
    });
    const { signal } = abort;
    const shared = { ...parseSharedFields(request), workspace, service };
    if (kind === 'calls') {
      const call = createCallRequest(shared, definition, request.method ?? 'GET', path, body);
      await sendCallResponse(this.dispatcher.dispatch(call, signal), response);
      return;
    }
    const fields = parseObject(body);
    const generation = createGenerationRequest(shared, fields);
    const parts = this.dispatcher.dispatch(generation, signal);
    if (fields.stream === true) await streamCompletion(generation.id, parts, response, this.log);
    else await sendCompletion(generation.id, parts, response);
  }

  private authenticateWorkspace(request: IncomingMessage): string {
    const configuration = this.configuration();
    if (configuration.revision === 0) {
      throw new Unavailable('No configuration is known yet.', retryAfterMs);
    }
    const workspace = getWorkspacesByHash(configuration).get(sha256(getBearerToken(request)));
    if (!workspace) throw new Unauthenticated();
    return workspace;
  }
}
