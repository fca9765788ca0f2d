import type { IncomingMessage } from 'node:http';
import { NotFound, Unauthenticated } from '@laburnumstream/common';
import type { Failure, Route, Workspace } from '@laburnumstream/common';
import type { RouteTable } from '@laburnumstream/decisions';
import type { FleetState } from '../fleet/fleetState.js';
import type { RequestHead } from './heads.js';
import { Refusal, RefusalReason, storeRetryDelayMs } from './refusal.js';

/** What the age of the current configuration permits. */
export interface FreshnessChecks {
  /** Whether keys of the configuration may still be accepted. */
  mayAcceptKeys(): boolean;
  /** Whether a caller may be told that a route or key does not exist. */
  mayReportMissing(): boolean;
  /** Time since the store confirmed that the configuration is the newest one, in milliseconds. */
  ageMs(): number;
  /** Waits for the first configuration if it is expected soon; `timeLeftMs` is the caller's remaining time. */
  awaitConfiguration(timeLeftMs: number, signal: AbortSignal): Promise<void>;
  /** Waits for a proof with which keys may be accepted if it is expected soon. */
  awaitProof(timeLeftMs: number, signal: AbortSignal): Promise<void>;
}

/** Remaining time that is assumed of a caller that states none, in milliseconds. */
const defaultTimeLeftMs = 1_000;

function getPath(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}

function matchRoute(
  routes: RouteTable,
  { headers, url = '/' }: IncomingMessage,
): Route | undefined {
  const { host = '' } = headers;
  return routes.match(host.split(':')[0]!, getPath(url));
}

/** Finds the route and the workspace of requests, as far as the age of the configuration permits. */
export class RouteAccess {
  constructor(
    private readonly state: Pick<FleetState, 'routes'>,
    private readonly freshness: FreshnessChecks,
  ) {}

  /** Waits for a response of the store that is expected soon and without which the request would be refused. */
  async awaitStore(
    request: IncomingMessage,
    { timeLeftMs = defaultTimeLeftMs }: RequestHead,
    signal: AbortSignal,
  ): Promise<void> {
    if (!this.state.routes) await this.freshness.awaitConfiguration(timeLeftMs, signal);
    const { routes } = this.state;
    if (!routes?.configuration.requiresKeys || this.freshness.mayAcceptKeys()) return;
    const isPublic = matchRoute(routes, request)?.isPublic ?? false;
    if (!isPublic) await this.freshness.awaitProof(timeLeftMs, signal);
  }

  /** Returns the route of a request; throws a typed failure if there is none. */
  findRoute(routes: RouteTable, request: IncomingMessage): Route {
    const route = matchRoute(routes, request);
    if (!route) throw this.toMissingFailure(new NotFound('No route matches the host and path.'));
    return route;
  }

  /** Returns the workspace of the request's key; undefined if no key is required. */
  authenticate(routes: RouteTable, route: Route, head: RequestHead): Workspace | undefined {
    if (route.isPublic || !routes.configuration.requiresKeys) return undefined;
    // A known key may have been revoked since, and an unknown one may have been added.
    if (!this.freshness.mayAcceptKeys()) {
      const ageMs = Math.round(this.freshness.ageMs());
      const message = `The proof of keys is ${ageMs} ms old.`;
      throw new Refusal(RefusalReason.oldProof, message, storeRetryDelayMs);
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
    return new Refusal(RefusalReason.oldConfiguration, message, storeRetryDelayMs);
  }
}
