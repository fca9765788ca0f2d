import type { Log, Metrics } from '@laburnumstream/common';
import type { ResponseHead } from '../callers/heads.js';
import type { EndpointHandle } from './endpointHandle.js';

/** What recording the pace of an endpoint needs. */
export interface PaceServices {
  /** Learns which services state the pace of their instances. */
  readonly adaptive: {
    recordResponse(service: string): void;
    recordStatedPace(service: string): void;
    has(service: string): boolean;
  };
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Records what a response says of the pace and the cold start of its endpoint. */
export function recordPace(
  { adaptive, metrics, log }: PaceServices,
  handle: EndpointHandle,
  { endpointId, load, coldLeftMs = 0 }: ResponseHead,
  now: number,
): void {
  // Another endpoint has the address, so the response says nothing of this one.
  if (endpointId !== undefined && endpointId !== handle.id) return;
  handle.recordColdLeft(coldLeftMs, now);
  if (load?.isPaceUnreadable) {
    metrics.count('endpoint_paces_unreadable');
    if (handle.takeUnreadablePace())
      log.warn('Endpoint states an unreadable pace.', { endpoint: handle.id });
  }
  adaptive.recordResponse(handle.endpoint.service);
  if (load?.pace === undefined) return;
  handle.statedPace.record(load.pace, now);
  adaptive.recordStatedPace(handle.endpoint.service);
}

/** Logs a change of an endpoint's window, once a second at most. */
export function reportWindow({ log }: PaceServices, handle: EndpointHandle, now: number): void {
  const { window } = handle.load;
  const change = handle.windowChanges.take(window.value, now);
  if (!change) return;
  const outstanding = handle.windowedRequests(now);
  log.info('Window of an endpoint changed.', {
    endpoint: handle.id,
    ...change,
    outstanding,
    cuts: window.cutCount,
  });
}
