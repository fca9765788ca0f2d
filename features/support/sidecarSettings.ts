import type { SidecarSettings } from '@laburnumstream/common';
import { freePortPair } from '@laburnumstream/bench';
import { platformBounds } from './platformBounds.js';

/** Returns the settings of an agent on loopback; datagrams use the same port on an entry's address. */
export async function createSidecarSettings(): Promise<SidecarSettings> {
  const firstPort = await freePortPair();
  return {
    instance: 'side-1',
    host: '127.0.0.1',
    dataCentre: 'a',
    region: 'r',
    regions: new Map([['a', 'r']]),
    firstPort,
    linkBitsPerSecond: 1e9,
    store: { address: '127.0.0.1:1', minLeaseMs: 1_000 },
    heartbeatMs: 1_200,
    endpointAddress: '127.0.0.1:9',
    service: 'model',
    bounds: platformBounds,
  };
}
