import type { Clock, Gauge } from '@laburnumstream/common';
import type { SharedRetryBudget } from '@laburnumstream/decisions';
import type { CallerServer, ConfigurationChecks } from './callerServer.js';
import type { DispatchLine } from './dispatchLine.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';
import type { FleetState } from './fleetState.js';

/** The parts of an entry whose state is shown. */
export interface EntryParts {
  readonly state: FleetState;
  readonly directory: EndpointDirectory;
  readonly line: DispatchLine;
  readonly budget: SharedRetryBudget;
  readonly callers: CallerServer;
  readonly checks: ConfigurationChecks;
  readonly clock: Clock;
}

function endpointGauges(handle: EndpointHandle, directory: EndpointDirectory): Gauge[] {
  const { service } = handle.endpoint;
  const state = directory.stateOf(handle);
  const gauges: Gauge[] = [{ name: 'endpoints', value: 1, labels: { service, state } }];
  if (!handle.model) return gauges;
  const version = String(handle.version ?? 0);
  return [...gauges, { name: 'endpoints_by_version', value: 1, labels: { service, version } }];
}

function budgetGauges(budget: SharedRetryBudget, now: number): Gauge[] {
  return budget.usage(now).flatMap(({ service, retries: repeats, allowed }) => [
    { name: 'retry_budget_used', value: repeats, labels: { service } },
    { name: 'retry_budget_allowed', value: allowed, labels: { service } },
  ]);
}

/** What an entry believes and has in hand at the moment, as gauges. */
export function entryGauges(parts: EntryParts): Gauge[] {
  const { state, directory, line, budget, callers, checks, clock } = parts;
  const endpoints = [...directory.all].flatMap((handle) => endpointGauges(handle, directory));
  const versions = [...state.newestVersions].map(([model, value]) => ({
    name: 'version_named',
    value,
    labels: { model },
  }));
  const waiting = [...line.waiting].map(([service, value]) => ({
    name: 'requests_waiting',
    value,
    labels: { service },
  }));
  return [
    { name: 'requests_running', value: callers.active },
    { name: 'configuration_proof_age_ms', value: Math.round(checks.ageMs()) },
    ...waiting,
    ...endpoints,
    ...versions,
    ...budgetGauges(budget, clock.now()),
  ];
}
