import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Route, Workspace } from '@laburnumstream/common';
import type { RequestHead } from './heads.js';

/** A caller's request to forward, and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  /** The workspace that the caller's key belongs to; undefined if no key is required. */
  readonly workspace: Workspace | undefined;
  /** Whether callers have keys of this system, which endpoints must not see; also on routes that require none. */
  readonly hasKeys: boolean;
  readonly body: Buffer;
  /** Version of the configuration that `route` and `workspace` are from. */
  readonly configurationVersion: number;
  /** Time before the arrival at which the store confirmed the configuration, in milliseconds. */
  readonly configurationAgeMs: number;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which the response must be complete, in milliseconds. */
  readonly deadlineAt: number;
  /** Aborted when the caller disconnects, the deadline passes or this process stops. */
  readonly signal: AbortSignal;
}

/** Abort reason: the deadline of the request has passed. */
export const deadlineExceeded = Symbol('deadline exceeded');

/** Abort reason: this process stops. */
export const processStopping = Symbol('process stopping');

/** Abort reason: the caller has closed its connection. */
export const callerDisconnected = Symbol('caller disconnected');
