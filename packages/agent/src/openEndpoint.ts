import type { Clock } from '@laburnumstream/common';
import { HttpModelEngine, HttpPlainService } from '@laburnumstream/clients';
import type { AgentSettings } from '@laburnumstream/runtime';
import type { EndpointGate } from './endpointGate.js';
import type { Endpoint } from './endpointRuns.js';
import { WatchedEngine } from './watchedEngine.js';
import { WatchedPlainService } from './watchedPlainService.js';

/** Opens the endpoint that the settings name; the gate learns of its signs of restarts. */
export function openEndpoint(settings: AgentSettings, gate: EndpointGate, clock: Clock): Endpoint {
  const { kind, url } = settings.endpoint;
  const timeoutMs = settings.options.progressTimeoutMs;
  const onLoss = (): void => gate.turnCold('connection');
  return kind === 'engine'
    ? { engine: new WatchedEngine(new HttpModelEngine(url, timeoutMs, onLoss), gate, clock) }
    : { plain: new WatchedPlainService(new HttpPlainService(url, timeoutMs, onLoss), gate) };
}
