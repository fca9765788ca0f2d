import type { Clock, Gauge } from '@laburnumstream/common';
import type { MemoryBudget, ResponseMemory, SharedRetryBudget } from '@laburnumstream/decisions';
import type { CallerServer, FreshnessChecks } from './callers/callerServer.js';
import type { CrashGuard } from './crashes/crashGuard.js';
import type { DispatchQueue } from './placement/dispatchQueue.js';
import type { EndpointDirectory } from './endpoints/endpointDirectory.js';
import type { EndpointHandle } from './endpoints/endpointHandle.js';
import type { FleetState } from './fleet/fleetState.js';

/** The parts of an entry whose state is exported. */
export interface EntryParts {
  readonly state: FleetState;
  readonly directory: EndpointDirectory;
  readonly queue: DispatchQueue;
  readonly budget: SharedRetryBudget;
  readonly memory: ResponseMemory;
  readonly memoryBudget: MemoryBudget;
  readonly callers: CallerServer;
  readonly freshness: FreshnessChecks;
  readonly guard: CrashGuard;
  readonly clock: Clock;
}

function endpointGauges(handle: EndpointHandle, directory: EndpointDirectory): Gauge[] {
  const { service } = handle.endpoint;
  const state = directory.getState(handle);
  const gauges: Gauge[] = [{ name: 'endpoints', value: 1, labels: { service, state } }];
  if (!handle.model) return gauges;
  const version = String(handle.version ?? 0);
  return [...gauges, { name: 'endpoints_by_version', value: 1, labels: { service, version } }];
}

function budgetGauges(budget: SharedRetryBudget, now: number): Gauge[] {
  return budget.usage(now).flatMap(({ service, retries, allowed }) => [
    { name: 'retry_budget_used', value: retries, labels: { service } },
    { name: 'retry_budget_allowed', value: allowed, labels: { service } },
  ]);
}

/** Returns gauges of an entry's current requests, configuration, endpoints and retry budgets. */
export function entryGauges(parts: EntryParts): Gauge[] {
  const {
    state,
    directory,
    queue,
    budget,
    memory,
    memoryBudget,
    callers,
    freshness,
    guard,
    clock,
  } = parts;
  const endpoints = [...directory.all].flatMap((handle) => endpointGauges(handle, directory));
  const versions = [...state.newestVersions].map(([model, value]) => ({
    name: 'version_named',
    value,
    labels: { model },
  }));
  const waiting = [...queue.queueLengths].map(([service, value]) => ({
    name: 'requests_waiting',
    value,
    labels: { service },
  }));
  return [
    { name: 'requests_running', value: callers.active },
    { name: 'response_memory_bytes', value: memory.usedBytes },
    { name: 'held_memory_bytes', value: memoryBudget.usedBytes },
    { name: 'configuration_proof_age_ms', value: Math.round(freshness.ageMs()) },
    { name: 'endpoint_crashes_known', value: guard.crashCount },
    { name: 'crash_suspects', value: guard.crashingRequestCount },
    { name: 'convictions', value: guard.quarantines.length },
    ...waiting,
    ...endpoints,
    ...versions,
    ...budgetGauges(budget, clock.now()),
  ];
}
