import type { Clock } from '@laburnumstream/common';
import { HttpModelEngine, HttpPlainService } from '@laburnumstream/clients';
import type { AgentSettings } from '@laburnumstream/runtime';
import type { EndpointGate } from './endpointGate.js';
import type { Endpoint } from './endpointRunner.js';
import { MonitoredEngine } from './monitoredEngine.js';
import { MonitoredPlainService } from './monitoredPlainService.js';

/** Creates the client of the configured endpoint; a lost connection marks the gate as cold. */
export function openEndpoint(settings: AgentSettings, gate: EndpointGate, clock: Clock): Endpoint {
  const { kind, url } = settings.endpoint;
  const timeoutMs = settings.options.progressTimeoutMs;
  const onConnectionLost = (): void => gate.markCold('connection');
  return kind === 'engine'
    ? {
        engine: new MonitoredEngine(
          new HttpModelEngine(url, timeoutMs, onConnectionLost),
          gate,
          clock,
        ),
      }
    : {
        plain: new MonitoredPlainService(
          new HttpPlainService(url, timeoutMs, onConnectionLost),
          gate,
        ),
      };
}
