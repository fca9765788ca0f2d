import type { IncomingMessage, ServerResponse } from 'node:http';
import { Forbidden, InvalidInput, Overloaded, toFailure } from '@laburnumstream/common';
import type { Clock, Log } from '@laburnumstream/common';
import { OperatorRole, RateLimiter } from '@laburnumstream/decisions';
import { parseObject, readBody, sendFailure, sendJson } from '@laburnumstream/runtime';
import type { EntrySettings, HistogramMetrics } from '@laburnumstream/runtime';
import type { ConfigurationHolder } from './configurationEditor.js';
import { authenticate } from './operatorAuthentication.js';
import type { AuthenticatedOperator } from './operatorAuthentication.js';
import { matchRoute } from './operatorRoutes.js';
import type { ChangeOptions, OperatorCall, Route } from './operatorRoutes.js';

const readRate = { perSecond: 200, burst: 400 };
const changeRate = { perSecond: 20, burst: 60 };
const maxActiveCalls = 128;
const overloadRetryAfterMs = 1_000;
const maxChangeIdLength = 100;

function parseChangeOptions(fields: Readonly<Record<string, unknown>>): ChangeOptions {
  const { dryRun = false, changeId, ifRevision } = fields;
  if (typeof dryRun !== 'boolean') throw new InvalidInput('dryRun: expected true or false');
  const isId =
    typeof changeId === 'string' && changeId !== '' && changeId.length <= maxChangeIdLength;
  if (changeId !== undefined && !isId) {
    throw new InvalidInput(`changeId: expected a text of 1 to ${maxChangeIdLength} characters`);
  }
  if (ifRevision !== undefined && !(Number.isInteger(ifRevision) && Number(ifRevision) >= 0)) {
    throw new InvalidInput('ifRevision: expected a whole number');
  }
  return {
    dryRun,
    ...(isId ? { changeId } : {}),
    ...(ifRevision === undefined ? {} : { ifRevision: Number(ifRevision) }),
  };
}

/** HTTP server for operators: the administration API under /admin/v1, and /metrics. */
export class OperatorServer {
  private readonly rateLimits = {
    [OperatorRole.viewer]: new RateLimiter(readRate),
    [OperatorRole.operator]: new RateLimiter(changeRate),
  };

  private activeCalls = 0;

  constructor(
    private readonly settings: EntrySettings,
    private readonly holder: ConfigurationHolder,
    private readonly routes: readonly Route[],
    private readonly metrics: HistogramMetrics,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.activeCalls += 1;
    try {
      if (this.activeCalls > maxActiveCalls) {
        throw new Overloaded('Too many administration calls run.', overloadRetryAfterMs);
      }
      const url = new URL(request.url ?? '/', 'http://entry');
      if (url.pathname === '/metrics') response.end(this.metrics.render());
      else sendJson(response, 200, await this.serve(url, request));
    } catch (error) {
      sendFailure(response, error);
    } finally {
      this.activeCalls -= 1;
    }
  }

  private async serve(url: URL, request: IncomingMessage): Promise<unknown> {
    const { configuration } = this.holder;
    const authenticated = authenticate(request, configuration, this.settings.bootstrapOperators);
    const { method = '' } = request;
    try {
      return await this.serveAuthenticated(authenticated, url, request);
    } catch (error) {
      const { type, message } = toFailure(error);
      this.metrics.count(`administration_refused_${type}`);
      const fields = {
        operator: authenticated.name,
        method,
        path: url.pathname,
        type,
        reason: message,
      };
      if (method !== 'GET') this.log.warn('Change refused.', fields);
      throw error;
    }
  }

  private async serveAuthenticated(
    { name, operator }: AuthenticatedOperator,
    url: URL,
    request: IncomingMessage,
  ): Promise<unknown> {
    const { route, parameter } = matchRoute(this.routes, request.method ?? 'GET', url.pathname);
    if (route.role === OperatorRole.operator && operator.role !== OperatorRole.operator) {
      throw new Forbidden('The role viewer may not change anything.');
    }
    this.rateLimits[route.role].take(name, this.clock.now());
    const { options } = this.settings;
    const text = await readBody(request, options.maxBodyBytes);
    const body = text ? parseObject(text) : {};
    const { reason, dryRun, changeId, ifRevision, ...fields } = body;
    if (reason !== undefined && typeof reason !== 'string') {
      throw new InvalidInput('reason: expected a text');
    }
    const call: OperatorCall = {
      operator,
      parameter,
      query: url.searchParams,
      fields,
      changeOptions: parseChangeOptions({ dryRun, changeId, ifRevision }),
      attribution: { author: name, reason: reason ?? '', at: this.clock.wall() },
      signal: AbortSignal.timeout(options.requestTimeoutMs),
    };
    return route.handler(call);
  }
}
