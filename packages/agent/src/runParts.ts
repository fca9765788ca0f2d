import type { Clock, KeyValueStore, Log, Metrics } from '@laburnumstream/common';
import { ClaimStore } from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import type { AgentSettings } from '@laburnumstream/runtime';
import { ClaimLeases } from './claimLeases.js';
import { ClaimedRuns } from './claimedRuns.js';
import type { EndpointRuns } from './endpointRuns.js';
import { RequestLedger } from './requestLedger.js';
import { RunHandler } from './runHandler.js';
import type { Admitter } from './runHandler.js';
import { SoloLock } from './soloLock.js';

/** What a run handler is built on. */
export interface RunParts {
  readonly settings: AgentSettings;
  readonly configuration: () => Configuration;
  readonly gate: Admitter;
  readonly endpoint: EndpointRuns;
  /** Whether the process may act on what it knows; not so just after it stood still. */
  readonly isSettled: () => boolean;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Fires when the process ends. */
  readonly signal: AbortSignal;
}

/** Builds the handler of requests with its ledger and claims. */
export function makeRunHandler(parts: RunParts): RunHandler {
  const { settings, configuration, gate, endpoint, isSettled, store } = parts;
  const { clock, metrics, log, signal } = parts;
  const { claimKeepMs, recordedAnswerBytes, progressTimeoutMs } = settings.options;
  const { resumeGraceMs, outcomeKeepMs } = settings.options;
  const leases = new ClaimLeases(store, clock, claimKeepMs);
  const claims = new ClaimStore(store, leases, () => clock.wall());
  const claimed = new ClaimedRuns(
    claims,
    clock,
    recordedAnswerBytes,
    progressTimeoutMs,
    metrics,
    log,
  );
  const ledger = new RequestLedger(clock, resumeGraceMs, outcomeKeepMs, metrics, signal);
  const solo = new SoloLock(clock);
  return new RunHandler(
    settings,
    configuration,
    gate,
    ledger,
    endpoint,
    claimed,
    solo,
    isSettled,
    clock,
    metrics,
    log,
  );
}
