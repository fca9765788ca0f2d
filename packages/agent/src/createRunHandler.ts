import type { Clock, KeyValueStore, Log, Metrics } from '@laburnumstream/common';
import { ClaimStore } from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import type { AgentSettings } from '@laburnumstream/runtime';
import { SharedClaimLease } from './sharedClaimLease.js';
import { ClaimedRuns } from './claimedRuns.js';
import type { EndpointRunner } from './endpointRunner.js';
import { RunRegistry } from './runRegistry.js';
import { RunHandler } from './runHandler.js';
import type { AdmissionGate } from './runHandler.js';
import { SharedExclusiveLock } from './sharedExclusiveLock.js';

/** Dependencies of a run handler. */
export interface RunHandlerDependencies {
  readonly settings: AgentSettings;
  readonly configuration: () => Configuration;
  readonly gate: AdmissionGate;
  readonly endpoint: EndpointRunner;
  /**
   * Whether the state of the process is up to date; false after a suspension until it was checked.
   */
  readonly isSettled: () => boolean;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Fires when the process exits. */
  readonly signal: AbortSignal;
}

/** Creates a run handler with its run registry, claims and lock. */
export function createRunHandler(dependencies: RunHandlerDependencies): RunHandler {
  const { settings, configuration, gate, endpoint, isSettled, store } = dependencies;
  const { clock, metrics, log, signal } = dependencies;
  const { claimKeepMs, recordedAnswerBytes, progressTimeoutMs } = settings.options;
  const { resumeGraceMs, outcomeKeepMs } = settings.options;
  const claimLease = new SharedClaimLease(store, clock, claimKeepMs);
  const claims = new ClaimStore(store, claimLease, () => clock.wall());
  const claimedRuns = new ClaimedRuns(
    claims,
    clock,
    recordedAnswerBytes,
    progressTimeoutMs,
    metrics,
    log,
  );
  const registry = new RunRegistry(clock, resumeGraceMs, outcomeKeepMs, metrics, signal);
  const lock = new SharedExclusiveLock(clock);
  return new RunHandler(
    settings,
    configuration,
    gate,
    registry,
    endpoint,
    claimedRuns,
    lock,
    isSettled,
    clock,
    metrics,
    log,
  );
}
