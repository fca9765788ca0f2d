import { NotFound } from '@laburnumstream/common';
import { OperatorRole } from '@laburnumstream/decisions';
import type { Operator } from '@laburnumstream/decisions';
import type { Attribution } from './changes.js';

/** Options of a change. */
export interface ChangeOptions {
  readonly dryRun: boolean;
  /** Idempotency id of the change. */
  readonly changeId?: string;
  /** The revision that the author saw; later changes of the same items are conflicts. */
  readonly ifRevision?: number;
}

/** An operator's request after authentication and the role check. */
export interface OperatorCall {
  readonly operator: Operator;
  /** The path segment that names an object; empty when the route has none. */
  readonly parameter: string;
  readonly query: URLSearchParams;
  readonly fields: Readonly<Record<string, unknown>>;
  readonly changeOptions: ChangeOptions;
  readonly attribution: Attribution;
  readonly signal: AbortSignal;
}

/** Handles the requests of one route; its result is sent as JSON. */
export type OperatorHandler = (call: OperatorCall) => Promise<unknown> | unknown;

/** A route of the administration API and the role that it requires. */
export interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly role: OperatorRole;
  readonly handler: OperatorHandler;
}

function createRoute(
  method: string,
  path: string,
  role: OperatorRole,
  handler: OperatorHandler,
): Route {
  return { method, path: new RegExp(`^/admin/v1/${path}$`), role, handler };
}

/** A read-only route, open to viewers. */
export function viewerRoute(path: string, handler: OperatorHandler): Route {
  return createRoute('GET', path, OperatorRole.viewer, handler);
}

/** A route that requires the role operator. */
export function operatorRoute(
  method: 'POST' | 'DELETE',
  path: string,
  handler: OperatorHandler,
): Route {
  return createRoute(method, path, OperatorRole.operator, handler);
}

/** Finds the route of a request and the parameter in its path; throws `NotFound`. */
export function matchRoute(
  routes: readonly Route[],
  method: string,
  pathname: string,
): { route: Route; parameter: string } {
  const route = routes.find((each) => each.method === method && each.path.test(pathname));
  if (!route) throw new NotFound(`There is no ${method} ${pathname}.`);
  return { route, parameter: decodeURIComponent(route.path.exec(pathname)?.[1] ?? '') };
}
