import type { Clock, Gauge } from '@laburnumstream/common';
import type { MemoryBudget, ResponseMemory, SharedRetryBudget } from '@laburnumstream/decisions';
import type { CallerServer } from './callers/callerServer.js';
import type { FreshnessChecks } from './callers/routeAccess.js';
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

const percent = 100;

function endpointGauges(handle: EndpointHandle, directory: EndpointDirectory): Gauge[] {
  const { service } = handle.endpoint;
  const state = directory.getState(handle);
  const gauges: Gauge[] = [{ name: 'endpoints', value: 1, labels: { service, state } }];
  if (!handle.model) return gauges;
  const version = String(handle.version ?? 0);
  return [...gauges, { name: 'endpoints_by_version', value: 1, labels: { service, version } }];
}

/** Returns gauges of the pace, the window and the memory of an endpoint to which adaptive admission applies. */
function paceGauges(handle: EndpointHandle, now: number): Gauge[] {
  const { id, isAdaptive, pace, load, memory } = handle;
  const labels = { endpoint: id };
  const held = memory && load.ownRequests > 0 ? memory.heldTokens(load, now) : undefined;
  const gauges: Gauge[] = [];
  if (held !== undefined) gauges.push({ name: 'endpoint_held_tokens', value: held, labels });
  if (!isAdaptive) return gauges;
  const factor = pace?.factor(now) ?? load.slowdown;
  const { value, cutCount } = load.window;
  gauges.push(
    { name: 'endpoint_pace_percent', value: Math.round(factor * percent), labels },
    { name: 'endpoint_window_cuts', value: cutCount, labels },
  );
  if (value !== undefined) gauges.push({ name: 'endpoint_window', value, labels });
  return gauges;
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
  const now = clock.now();
  const endpoints = [...directory.all].flatMap((handle) => [
    ...endpointGauges(handle, directory),
    ...paceGauges(handle, now),
  ]);
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
    ...budgetGauges(budget, now),
  ];
}
