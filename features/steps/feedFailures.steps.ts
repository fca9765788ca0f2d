import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { FeedReaders } from '@laburnumstream/decisions';
import { StoreMirror } from '@laburnumstream/forwarding';
import type { RemoteRegion, WrittenVersion } from '../support/remoteRegion.js';

const msPerSecond = 1_000;

interface FeedWorld {
  region: RemoteRegion;
  written: WrittenVersion[];
  mirror: StoreMirror;
}

const faults: Readonly<Record<string, (region: RemoteRegion) => Promise<void> | void>> = {
  'are killed': (region) => region.killReaders(),
  'fall silent': (region) => region.silenceReaders(),
  'are cut from the store': (region) => region.cutFromStore(region.readers),
  'are turned away by the store': (region) => region.turnAway(region.readers),
  'are turned away, one of them': (region) => region.turnAway(region.readers.slice(0, 1)),
};

function createNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `front-${index}`);
}

function createReaders(self: string, names: readonly string[], regions = 2): FeedReaders {
  const readers = new FeedReaders(self, regions);
  readers.setEntries(names);
  return readers;
}

Then(
  /^of (\d+) entries of one of (\d+) regions (\d+) read the store themselves$/,
  (entries: string, regions: string, expected: string) => {
    const names = createNames(Number(entries));
    const sources = names.map((name) => createReaders(name, names, Number(regions)).pickSource(0));
    assert.equal(sources.filter((source) => source === undefined).length, Number(expected));
    const readers = names.filter((_name, index) => sources[index] === undefined);
    sources.forEach((source) => assert.ok(source === undefined || readers.includes(source)));
  },
);

Then(
  /^the next entry takes the place of a reader that failed, for (\d+) seconds$/,
  (seconds: string) => {
    const names = createNames(12);
    const isReader = (name: string): boolean =>
      createReaders(name, names).pickSource(0) === undefined;
    const self = names.find((name) => !isReader(name))!;
    const own = createReaders(self, names);
    const first = own.pickSource(0)!;
    own.recordFailure(first, 0);
    const second = own.pickSource(0);
    assert.notEqual(second, first);
    const ms = Number(seconds) * msPerSecond;
    assert.equal(own.pickSource(ms - 1), second);
    assert.equal(own.pickSource(ms), first);
  },
);

When(/^the readers (are .+|fall .+)$/, async function fail(this: FeedWorld, fault: string) {
  await faults[fault]!(this.region);
});

When('all entries are cut from the store', function cut(this: FeedWorld) {
  this.region.cutFromStore(this.region.entries);
});

When('operators take the key of the region away', function take(this: FeedWorld) {
  this.region.writeConfiguration(0, ['key-2']);
});

Then('no request with that key is run', async function refused(this: FeedWorld) {
  const { homeEngine, remoteEngine } = this.region;
  const countRuns = (): number =>
    homeEngine.startedRequestIds.length + remoteEngine.startedRequestIds.length;
  const before = countRuns();
  const responses = await this.region.sendToAll('/safe/x');
  assert.equal(countRuns(), before);
  assert.deepEqual(
    responses.map(({ status }) => status),
    responses.map(() => 503),
  );
});

Then(
  /^each is in force at the other entries within (\d+) seconds$/,
  { timeout: 30_000 },
  async function inForce(this: FeedWorld, seconds: string) {
    const times: number[] = [];
    for (const { version, at } of this.written) {
      times.push(await this.region.waitForVersion(version, at, 10_000, this.region.others));
    }
    const isLate = times.some((ms) => ms > Number(seconds) * msPerSecond);
    assert.ok(!isLate, `in force after ${times.map(Math.round).join(', ')} ms`);
  },
);

Then(
  /^the other entries answer requests with a key for (\d+) seconds$/,
  { timeout: 30_000 },
  async function answered(this: FeedWorld, seconds: string) {
    await this.region.expectAnswers(this.region.others, Number(seconds) * msPerSecond);
  },
);

Given(
  /^a mirror that the store confirmed in a call at (\d+) ms$/,
  function confirmed(this: FeedWorld, at: string) {
    this.mirror = new StoreMirror();
    this.mirror.applySnapshot({ values: [], revision: 50 }, { changedAt: 0, unseenMs: 0 });
    this.mirror.confirm(Number(at));
  },
);

Then(
  /^a follower that calls at (\d+) ms learns a proof of (\d+) ms before its call$/,
  function proof(this: FeedWorld, calledAt: string, ageMs: string) {
    const now = Number(calledAt) + 500;
    const { proofAgeMs } = this.mirror.readAfter(
      { revision: 50 },
      Number(calledAt),
      now,
    )!.provenance;
    assert.equal(proofAgeMs, Number(ageMs));
  },
);

Given(
  /^a mirror that took a snapshot at revision (\d+)$/,
  function took(this: FeedWorld, revision: string) {
    this.mirror = new StoreMirror();
    const values = [{ key: 'servers/e1', value: '{}', revision: 30 }];
    this.mirror.applySnapshot(
      { values, revision: Number(revision) },
      { changedAt: 0, unseenMs: 0 },
    );
  },
);

When(/^a key is removed at revision (\d+)$/, function remove(this: FeedWorld, at: string) {
  const revision = Number(at);
  const changes = [{ key: 'servers/e1', value: undefined, revision }];
  this.mirror.applyChanges({ changes, revision }, { changedAt: 0, unseenMs: 0 });
});

Then(
  /^a follower of revision (\d+) learns of the removal$/,
  function learns(this: FeedWorld, revision: string) {
    const changes = this.mirror.readAfter({ revision: Number(revision) }, 0, 0)?.changes;
    assert.deepEqual(changes, [{ key: 'servers/e1', value: undefined, revision: 60 }]);
  },
);

Then(
  /^a follower of revision (\d+) has to take a snapshot, without the key$/,
  function snapshot(this: FeedWorld, revision: string) {
    assert.equal(this.mirror.readAfter({ revision: Number(revision) }, 0, 0), undefined);
    assert.deepEqual(this.mirror.readAfter({ revision: 0 }, 0, 0)!.changes, []);
  },
);
