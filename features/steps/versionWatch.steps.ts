import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Unavailable } from '@laburnumstream/common';
import type { StoreChanges, StoreFeed } from '@laburnumstream/common';
import { VersionWatch } from '@laburnumstream/forwarding';
import type { FleetWatcher } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';
import { createStaticStore, createWatcher } from '../support/changingStore.js';
import { LargeFleet, noopLog } from '../support/largeFleet.js';

interface WatchWorld {
  clock: VirtualClock;
  watcher: FleetWatcher;
  abort: AbortController;
  /** Virtual times of the watcher's calls, in milliseconds. */
  callTimes: number[];
  versionCalls: number;
  namedAt: number;
}

const prefix = 'versions/';
const position = { revision: 1 };
const entryCount = 12;
const settleMs = 20;

function createVersionWatch(
  world: WatchWorld,
  isReader: boolean,
  store: Pick<StoreFeed, 'changes'>,
) {
  const getPosition = () => (isReader ? position : undefined);
  const onChange = (): void => world.watcher.endPause();
  return new VersionWatch(store, prefix, getPosition, onChange, world.clock, noopLog);
}

After(function end(this: Partial<WatchWorld>) {
  this.abort?.abort();
});

Given('a watcher that pauses after a change', async function pause(this: WatchWorld) {
  const { clock, state } = new LargeFleet(entryCount, 1);
  Object.assign(this, { clock, abort: new AbortController(), callTimes: [] });
  const { store, codec } = createStaticStore(1);
  const changing: StoreFeed = {
    snapshot: (...args) => store.snapshot(...args),
    changes: (_prefix, { revision }) => {
      this.callTimes.push(clock.now());
      const changes = [{ key: '0', value: '', revision: revision + 1 }];
      return Promise.resolve({ changes, revision: revision + 1 });
    },
  };
  this.watcher = createWatcher({ store: changing, codec }, state, clock);
  void this.watcher.run(this.abort.signal);
  await clock.runUntil(clock.now() + 1);
  assert.equal(this.callTimes.length, 1);
});

When(
  /^a version is named (\d+) ms later at an entry that (reads the store|reads from another)$/,
  async function name(this: WatchWorld, ms: string, role: string) {
    const { clock } = this;
    let isNamed = false;
    const store = {
      changes: async (): Promise<StoreChanges> => {
        await clock.sleep(isNamed ? Infinity : Number(ms), this.abort.signal);
        isNamed = true;
        this.namedAt = clock.now();
        return { changes: [{ key: `${prefix}m`, value: '', revision: 2 }], revision: 2 };
      },
    };
    const watch = createVersionWatch(this, role === 'reads the store', store);
    this.namedAt = clock.now() + Number(ms);
    void watch.run(this.abort.signal);
    await clock.runUntil(this.namedAt + settleMs);
  },
);

Then(
  /^the watcher has called the store again (at once|after the pause)$/,
  function again(this: WatchWorld, when: string) {
    assert.equal(this.callTimes.length, when === 'at once' ? 2 : 1);
  },
);

When(
  'the store refuses the watch of named versions for {int} s',
  async function refuse(this: WatchWorld, seconds: number) {
    const clock = new VirtualClock();
    Object.assign(this, { clock, abort: new AbortController(), versionCalls: 0 });
    const store = {
      changes: (): Promise<StoreChanges> => {
        this.versionCalls += 1;
        return Promise.reject(new Unavailable('The store is away.', 0));
      },
    };
    void createVersionWatch(this, true, store).run(this.abort.signal);
    await clock.runUntil(clock.now() + seconds * 1_000 - 1);
  },
);

Then('it has been called {int} times', function called(this: WatchWorld, count: number) {
  assert.equal(this.versionCalls, count);
});
