import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Route, Workspace } from '@laburnumstream/common';
import type { RequestHead } from './heads.js';

/** A caller's request that is to be forwarded, and its answer. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  /** The holder of the caller's key; undefined on public routes. */
  readonly workspace: Workspace | undefined;
  readonly body: Buffer;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which the final answer is due, in milliseconds. */
  readonly deadlineAt: number;
  /** Fires when the caller has left or the deadline has passed. */
  readonly signal: AbortSignal;
}

/** The deadline of a request has passed. */
export const deadlineExceeded = Symbol('deadline passed');

/** The caller has closed its connection. */
export const callerDisconnected = Symbol('caller left');
