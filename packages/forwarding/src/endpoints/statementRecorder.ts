import type { Clock, Log, Metrics } from '@laburnumstream/common';
import type { EndpointStatements } from '@laburnumstream/decisions';
import type { EndpointHandle } from './endpointHandle.js';
import { StatementKind } from '../callers/heads.js';
import type { ResponseHead } from '../callers/heads.js';

/** Status of a refusal with which an endpoint may ask for a pause. */
const refusalStatus = 503;
/** Number of logged unreadable statements that are remembered, so that each is logged once. */
const maxReported = 1_024;

/** Records what endpoints say of themselves in their responses to this entry. */
export class StatementRecorder {
  /** Incarnations and kinds of unreadable statements that were logged. */
  private readonly reported = new Set<string>();

  constructor(
    private readonly statements: EndpointStatements,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Records what a response of an endpoint says. */
  record(handle: EndpointHandle, status: number, { endpointId, statement }: ResponseHead): void {
    // Another endpoint at the address responds so.
    if (endpointId !== undefined && endpointId !== handle.id) return;
    const { isLeaving, pauseMs, unreadable } = statement;
    const isRefusal = status === refusalStatus;
    if (isLeaving) this.recordLeaving(handle);
    if (isRefusal && pauseMs !== undefined && pauseMs > 0) this.recordPause(handle, pauseMs);
    unreadable
      .filter((kind) => kind !== StatementKind.pause || isRefusal)
      .forEach((kind) => this.recordUnreadable(handle, kind));
  }

  private recordLeaving(handle: EndpointHandle): void {
    if (!this.statements.recordLeaving(handle.incarnation, this.clock.now())) return;
    handle.pool.closeIdle();
    this.metrics.count('endpoints_leaving');
    this.log.info('Endpoint is leaving.', { endpoint: handle.id });
  }

  private recordPause({ id, incarnation }: EndpointHandle, pauseMs: number): void {
    if (!this.statements.recordPause(incarnation, pauseMs, this.clock.now())) return;
    this.metrics.count('endpoint_pauses');
    this.log.info('Endpoint asked for a pause.', { endpoint: id, pauseMs: Math.round(pauseMs) });
  }

  private recordUnreadable({ id, incarnation }: EndpointHandle, kind: StatementKind): void {
    this.metrics.count('endpoint_statements_unreadable', { kind });
    const key = `${incarnation} ${kind}`;
    if (this.reported.has(key)) return;
    if (this.reported.size >= maxReported) this.reported.clear();
    this.reported.add(key);
    this.log.warn('Endpoint made an unreadable statement.', { endpoint: id, kind });
  }
}
