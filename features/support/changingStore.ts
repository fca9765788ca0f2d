import { SleepAwareClock, Unavailable } from '@laburnumstream/common';
import type { FleetBounds, StoreFeed } from '@laburnumstream/common';
import { ConfigurationFreshness } from '@laburnumstream/decisions';
import { DatedStore, FleetState, FleetWatcher } from '@laburnumstream/forwarding';
import type { FleetDecoder } from '@laburnumstream/forwarding';
import type { VirtualClock } from '@laburnumstream/standins';
import { LargeFleet, createEndpoint, noopLog, noopMetrics } from './largeFleet.js';
import { platformBounds } from './platformBounds.js';

/** Creates a store with `count` endpoints that never change, and the codec of its values. */
export function createStaticStore(count: number): { store: StoreFeed; codec: FleetDecoder } {
  const values = Array.from({ length: count }, (_, index) => ({
    key: `${index}`,
    value: '',
    revision: 1,
  }));
  const store: StoreFeed = {
    snapshot: () => Promise.resolve({ values, revision: 1 }),
    changes: (_prefix, _after, _waitMs, signal) =>
      new Promise((_resolve, reject) => {
        signal?.addEventListener('abort', () => reject(new Unavailable('The test is over.', 0)));
      }),
  };
  const codec: FleetDecoder = {
    prefix: '',
    decode: ({ key }) => ({ kind: 'endpoint', id: `e${key}`, endpoint: createEndpoint(+key) }),
  };
  return { store, codec };
}

/** Creates a watcher that applies the store's content to a fleet state. */
export function createWatcher(
  { store, codec }: { store: StoreFeed; codec: FleetDecoder },
  state: FleetState,
  clock: VirtualClock,
  bounds: FleetBounds = platformBounds,
): FleetWatcher {
  const proof = new ConfigurationFreshness(4_600, 2_500);
  const proofClock = new SleepAwareClock(clock);
  return new FleetWatcher(
    new DatedStore(store, proofClock, bounds),
    codec,
    state,
    proof,
    proofClock,
    clock,
    noopMetrics,
    noopLog,
    bounds,
  );
}

/** Counts one entry's calls in 10 s to a store that responds to each watch after 20 ms with a change. */
export async function countStoreCalls(
  entries: number,
  bounds: FleetBounds = platformBounds,
): Promise<number> {
  const abort = new AbortController();
  const { clock, state } = new LargeFleet(entries, 1);
  const { store, codec } = createStaticStore(entries);
  let calls = 0;
  const changing: StoreFeed = {
    snapshot: (prefix, signal) => store.snapshot(prefix, signal),
    async changes(_prefix, { revision: after }) {
      calls += 1;
      await clock.sleep(20);
      return { changes: [{ key: '0', value: '', revision: after + 1 }], revision: after + 1 };
    },
  };
  const location = { host: '10.0.0.0', dataCentre: 'a' };
  const registering: FleetDecoder = {
    ...codec,
    decode: ({ key }) => ({ kind: 'entry', name: `front-${key}`, location }),
  };
  void createWatcher({ store: changing, codec: registering }, state, clock, bounds).run(
    abort.signal,
  );
  await clock.runUntil(10_000);
  abort.abort();
  return calls;
}
