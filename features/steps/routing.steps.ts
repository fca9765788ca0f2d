import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { SeededRandom, hash32 } from '@laburnumstream/common';
import {
  RoutingTable,
  targetLoad,
  createTarget,
  pickSubset,
  subsetSize,
} from '@laburnumstream/decisions';
import type { RoutingMember, Target } from '@laburnumstream/decisions';

const seed = 11;
const limit = 10;
const location = { dataCentre: 'a', region: 'x' };
const locations = [location, { dataCentre: 'b', region: 'x' }, { dataCentre: 'c', region: 'y' }];

function createMember(name: string, memberLocation = location): RoutingMember {
  return { target: Object.assign(createTarget(name), { limit }), ...memberLocation };
}

function createMembers(count: number): RoutingMember[] {
  return Array.from({ length: count }, (_, index) => createMember(`engine-${index}`));
}

function fillToLimit(target: Target): void {
  Object.assign(target, { reported: limit });
}

Then('an entry uses its data centre, then its region, then others, as they fill up', () => {
  const members = locations.map((memberLocation) =>
    createMember(`engine-${memberLocation.dataCentre}`, memberLocation),
  );
  const table = new RoutingTable('entry', location, members);
  const random = new SeededRandom(seed);
  members.forEach(({ target }) => {
    assert.equal(table.choose(0, random), target);
    assert.equal(table.choose(hash32('prefix'), random), target);
    fillToLimit(target);
  });
});

Then('an entry with full endpoints everywhere asks one of its own data centre', () => {
  const members = locations.map((memberLocation) =>
    createMember(`engine-${memberLocation.dataCentre}`, memberLocation),
  );
  members.forEach(({ target }) => fillToLimit(target));
  const table = new RoutingTable('entry', location, members);
  assert.equal(table.choose(0, new SeededRandom(seed))?.name, 'engine-a');
});

Then(
  '{int} entries with late reports spread work within {float} of the mean',
  (entries: number, maxRatio: number) => {
    const endpoints = 30;
    const highLimit = 1_000;
    const tables = Array.from({ length: entries }, (_, index) => {
      const members = createMembers(endpoints);
      members.forEach(({ target }) => Object.assign(target, { limit: highLimit }));
      return { members, table: new RoutingTable(`entry-${index}`, location, members) };
    });
    const random = new SeededRandom(seed);
    const units = new Array<number>(endpoints).fill(0);
    for (let round = 0; round < 30; round += 1) {
      tables.forEach(({ members, table }) => {
        const target = table.choose(0, random)!;
        target.own += 1;
        units[members.findIndex((each) => each.target === target)]! += 1;
      });
      if (round % 5 !== 4) continue;
      tables.forEach(({ members }) =>
        members.forEach(({ target }, index) => {
          Object.assign(target, { reported: units[index], ownAtReport: target.own });
        }),
      );
    }
    const mean = (entries * 30) / endpoints;
    assert.ok(Math.max(...units) <= mean * maxRatio, `${Math.max(...units) / mean}`);
  },
);

Then('requests with one prefix meet at one endpoint from all entries', () => {
  const random = new SeededRandom(seed);
  const homes = Array.from({ length: 20 }, (_, index) => {
    const members = createMembers(20).sort(() => random.next() - 0.5);
    const table = new RoutingTable(`entry-${index}`, location, members);
    return table.choose(hash32('prefix'), random)?.name;
  });
  assert.equal(new Set(homes).size, 1);
  const table = new RoutingTable('entry', location, createMembers(20));
  const all = Array.from({ length: 500 }, (_, index) => table.choose(hash32(`p${index}`), random));
  assert.equal(new Set(all).size, 20);
});

Then('a hot prefix leaves its home before the home is full', () => {
  const members = createMembers(8);
  const table = new RoutingTable('entry', location, members);
  const random = new SeededRandom(seed);
  for (let index = 0; index < 40; index += 1) table.choose(hash32('hot'), random)!.own += 1;
  const loads = members.map(({ target }) => targetLoad(target));
  assert.ok(Math.max(...loads) < 1, loads.join());
  assert.ok(loads.filter((load) => load > 0).length > 1);
});

Then(
  'an entry keeps {int} of {int} endpoints and a lost endpoint changes at most one of them',
  (size: number, count: number) => {
    const targets = createMembers(count).map(({ target }) => target);
    const subset = pickSubset('entry-1', targets, subsetSize);
    assert.equal(subset.length, size);
    assert.deepEqual(subset, pickSubset('entry-1', [...targets].reverse(), subsetSize));
    targets.forEach((lost) => {
      const rest = targets.filter((target) => target !== lost);
      const changed = pickSubset('entry-1', rest, subsetSize).filter(
        (target) => !subset.includes(target),
      );
      assert.ok(changed.length <= 1);
    });
    assert.notDeepEqual(subset, pickSubset('entry-2', targets, subsetSize));
  },
);

Then('a retry never chooses an endpoint that was tried', () => {
  const members = createMembers(5);
  const table = new RoutingTable('entry', location, members);
  const random = new SeededRandom(seed);
  const tried = new Set<string>();
  for (let attempt = 0; attempt < 5; attempt += 1) {
    const { name } = table.choose(hash32('prefix'), random, tried)!;
    assert.ok(!tried.has(name));
    tried.add(name);
  }
  assert.equal(table.choose(hash32('prefix'), random, tried), undefined);
});

Then('work that an entry started since a report counts on top of it', () => {
  const target = Object.assign(createTarget('engine'), {
    limit,
    reported: 4,
    own: 2,
    ownAtReport: 1,
  });
  assert.equal(targetLoad(target), 0.5);
  target.own = 8;
  assert.equal(targetLoad(target), 1.1);
});
