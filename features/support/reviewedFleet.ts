import { request as httpRequest } from 'node:http';
import type { ClientRequest } from 'node:http';
import { freePorts } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import type { ForwarderSettings } from '@laburnumstream/common';
import { ForwardingEntry } from '@laburnumstream/forwarding';
import { StoreClient, platformHeaders, storeCodec } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { noopLog } from './largeFleet.js';
import { platformBounds } from './platformBounds.js';
import { platformHost } from './platformFleet.js';
import type { PlatformFleet } from './platformFleet.js';
import { fleetHeader } from './queueingEngine.js';
import type { VersionFleet } from './versionFleet.js';

/** Creates the settings of another entry of a fleet, with the usual bounds. */
export async function createOtherSettings({ settings }: PlatformFleet): Promise<ForwarderSettings> {
  const [callers, readiness] = await freePorts(2);
  const host = '127.0.0.2';
  return {
    ...settings,
    instance: 'front-2',
    host,
    callerAddress: `${host}:${callers}`,
    readinessAddress: `${host}:${readiness}`,
    bounds: platformBounds,
  };
}

/** Creates another entry of a fleet, with the usual bounds. */
export async function createOtherEntry(
  fleet: PlatformFleet,
  settings?: ForwarderSettings,
): Promise<ForwardingEntry> {
  const { store } = fleet;
  return new ForwardingEntry({
    settings: settings ?? (await createOtherSettings(fleet)),
    store: new StoreClient(store.address),
    fleetCodec: storeCodec,
    headerCodec: platformHeaders,
    clock: new SystemClock(),
    random: new SeededRandom(8),
    metrics: new HistogramMetrics(),
    log: () => noopLog,
  });
}

/** Begins a request whose body is not sent yet. */
export function beginRequest(
  { platform: { settings }, engine }: VersionFleet,
  index: number,
): ClientRequest {
  const [host, port] = settings.callerAddress.split(':');
  const headers = {
    host: platformHost,
    authorization: 'Bearer key-1',
    'laburnumstream-request-id': `held-${index}`,
    'laburnumstream-deadline-ms': '8000',
    'content-length': '1',
    [fleetHeader]: engine.fleetId,
  };
  const begun = httpRequest({ host, port, path: '/stream/x', method: 'POST', headers });
  begun.flushHeaders();
  return begun;
}

/** Resolves when a request has a response or its connection has ended. */
export function waitForEnd(request: ClientRequest): Promise<void> {
  return new Promise((resolve) => {
    request.on('response', (response) => response.resume());
    request.on('error', () => resolve());
    request.on('close', () => resolve());
  });
}
