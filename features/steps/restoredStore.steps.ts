import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { StoreCopy } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { RestoredContent, lostContents } from '../support/restoredContent.js';
import type { RemoteRegion } from '../support/remoteRegion.js';

const msPerSecond = 1_000;
const inForceMs = 3_000;

interface ContentWorld {
  content: RestoredContent;
}

interface RestoredWorld {
  region: RemoteRegion;
  /** Version of the newest configuration. */
  newest: number;
  copy: StoreCopy;
}

Given(
  /^(\d+) configurations are in force that a copy of the store does not have$/,
  { timeout: 20_000 },
  async function configure(this: RestoredWorld, count: string) {
    const { region } = this;
    this.copy = region.store.copy();
    for (let written = 0; written < Number(count); written += 1) {
      const version = region.writeConfiguration(0);
      await region.waitForVersion(version, performance.now(), inForceMs);
    }
  },
);

When(
  'the store comes back from the copy and gets the last configuration again',
  function restore(this: RestoredWorld) {
    this.region.store.restore(this.copy);
    this.region.rewriteConfiguration();
  },
);

When(
  /^the store comes back from the copy and gets (\d+) newer configurations at once$/,
  function change(this: RestoredWorld, count: string) {
    this.region.store.restore(this.copy);
    for (let written = 0; written < Number(count); written += 1)
      this.newest = this.region.writeConfiguration(0);
  },
);

When(
  'the store comes back from a copy without the registrations of entries, and knows each lease',
  function forget(this: RestoredWorld) {
    const { store } = this.region;
    const copy = store.copy();
    const items = copy.items.filter(({ Key }) => !Key.startsWith('laburnumstream/entries/'));
    store.restore({ ...copy, items });
  },
);

Then(
  /^all (\d+) entries are registered again within (\d+) seconds$/,
  { timeout: 20_000 },
  async function registered(this: RestoredWorld, count: string, seconds: string) {
    await eventually(
      () => this.region.registrations === Number(count),
      'all entries are registered',
      Number(seconds) * msPerSecond,
    );
  },
);

Then(
  /^all entries have the newest one within (\d+) seconds$/,
  async function inForce(this: RestoredWorld, seconds: string) {
    await this.region.waitForVersion(this.newest, performance.now(), Number(seconds) * msPerSecond);
  },
);

Then(
  /^(\d+) seconds later no entry runs a request with that key$/,
  async function refused(this: RestoredWorld, seconds: string) {
    await sleep(Number(seconds) * msPerSecond);
    const responses = await this.region.sendToAll('/safe/x');
    assert.deepEqual(
      responses.map(({ status }) => status),
      responses.map(() => 401),
    );
  },
);

Given(
  /^an entry's watcher of a store with (an endpoint|a draining endpoint|an evacuation)$/,
  function hold(this: ContentWorld, what: string) {
    this.content = new RestoredContent(lostContents[what]!);
  },
);

When(
  /^the store comes back from a copy without it at (\d+) ms(?: and gets it again at (\d+) ms)?$/,
  async function lose(this: ContentWorld, at: string, againAt: string | null) {
    await this.content.lose(Number(at), againAt === null ? Infinity : Number(againAt));
    assert.ok(this.content.isInForce, 'in force before');
  },
);

Then(/^it was in force until (\d+) ms$/, async function kept(this: ContentWorld, until: string) {
  assert.equal(await this.content.findGap(Number(until)), undefined);
});

Then(/^it is no longer in force at (\d+) ms$/, async function gone(this: ContentWorld, at: string) {
  await this.content.findGap(Number(at));
  assert.equal(this.content.isInForce, false);
});
