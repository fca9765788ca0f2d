import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When, World } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import { NotifierSelection } from '@laburnumstream/decisions';
import { AgentUpdates, EntryPeers, LoadBroadcast } from '@laburnumstream/forwarding';
import type { DatagramContent } from '@laburnumstream/links';
import { storeCodec } from '@laburnumstream/platform';
import { LargeFleet, createEndpoint } from '../support/largeFleet.js';
import { createModelConfiguration } from '../support/platformFleet.js';

type Update = Extract<DatagramContent, { case: 'fleet' }>['value'];

/** A datagram that was encoded once, and its receivers. */
interface SentUpdate {
  readonly value: Update;
  readonly hosts: readonly string[];
}

interface UpdateWorld extends World {
  largeFleet: LargeFleet;
  engines: number;
  updates: AgentUpdates;
  sent: SentUpdate[];
  /** Number of agents that got an update, by round. */
  perRound: number[];
  /** Number of broadcasts of the entry's load. */
  loads: number;
}

const notifiers = 4;
const msPerSecond = 1_000;
/** The engine whose agent does not report. */
const silentEngine = 'e7';
/** Index of an endpoint of a plain service in the entry's region. */
const plainIndex = 600;
/** Time in which a scheduled broadcast is sent, in milliseconds. */
const broadcastWaitMs = 300;

function addEngine(
  { largeFleet: { state, directory } }: UpdateWorld,
  index: number,
  cold = 0,
): void {
  const layers = { from: 0, to: 16, version: 1 };
  const endpoint = { ...createEndpoint(index), service: 'model', coldRemainingMs: cold, layers };
  state.setEndpoint(endpoint, 0);
  directory.refresh();
}

function apply({ largeFleet: { state, clock } }: UpdateWorld, key: string, value: object): void {
  const change = storeCodec.decode({ key, value: JSON.stringify(value), revision: 1 });
  state.apply(change!, clock.now());
}

function getHost(address: string): string {
  return address.split(':')[0]!;
}

/** Hosts of the agents of the entry's region for which it is one of the few senders of weights. */
function findNotified({ largeFleet: { directory, state, regions } }: UpdateWorld): string[] {
  const region = regions.get('a');
  const names = [...state.entryLocations]
    .filter(([, { dataCentre }]) => regions.get(dataCentre) === region)
    .map(([name]) => name);
  const selection = new NotifierSelection('front-0');
  selection.setEntries(names);
  return [...directory.all]
    .filter(({ isLocal, endpoint }) => isLocal && selection.isSelected(endpoint.address, notifiers))
    .map(({ endpoint }) => getHost(endpoint.address));
}

function hostsWithWeights({ sent }: UpdateWorld): string[] {
  return sent.filter(({ value }) => value.weights).flatMap(({ hosts }) => hosts);
}

Given(
  'an entry among {int} with {int} engines',
  async function create(this: UpdateWorld, entries: number, engines: number) {
    this.largeFleet = new LargeFleet(entries, 0);
    this.engines = engines;
    const { settings, state, directory, clock } = this.largeFleet;
    apply(this, 'op/config', createModelConfiguration(1));
    apply(this, 'op/version/m', { Model: 'm', Version: 1 });
    for (let index = 0; index < engines; index += 1) addEngine(this, index);
    const datagrams = {
      sendAll: (content: DatagramContent, hosts: readonly string[]): void => {
        if (content.case === 'fleet') this.sent.push({ value: content.value, hosts });
      },
    };
    const peers = new EntryPeers(settings, state);
    this.sent = [];
    const random = new SeededRandom(1);
    this.updates = new AgentUpdates(settings, state, directory, peers, datagrams, clock, random);
    await clock.runUntil(settings.bounds.versionMs * 2);
  },
);

When('it sends its regular update', function send(this: UpdateWorld) {
  this.updates.sendRegular();
});

When('{int} rounds have passed', function pass(this: UpdateWorld, rounds: number) {
  this.sent = [];
  this.perRound = Array.from({ length: rounds }, () => {
    const before = this.sent.length;
    this.updates.sendRegular();
    return this.sent.slice(before).flatMap(({ hosts }) => hosts).length;
  });
});

function reportLoads({ largeFleet: { directory, clock } }: UpdateWorld, except?: string): void {
  const load = { running: 1, waiting: 0, slowdown: 1 };
  const sharers = { local: 1, remote: 1, isLocal: true };
  [...directory.all]
    .filter(({ id }) => id !== except)
    .forEach((handle) => handle.applyLoadReport(load, sharers, new SeededRandom(1), clock.now()));
}

When(
  /^all agents report, and (\d+) seconds later all but that of one engine$/,
  async function silence(this: UpdateWorld, seconds: string) {
    const { clock } = this.largeFleet;
    reportLoads(this);
    await clock.runUntil(clock.now() + Number(seconds) * msPerSecond);
    reportLoads(this, silentEngine);
  },
);

When('an engine is cold for longer', function warm(this: UpdateWorld) {
  this.sent = [];
  addEngine(this, 7, 1_000);
  this.updates.sendChanges();
});

When('an engine leaves', function leave(this: UpdateWorld) {
  this.sent = [];
  this.largeFleet.state.removeEndpoint('e7', 0);
  this.largeFleet.directory.refresh();
  this.updates.sendChanges();
});

When('an engine starts', function start(this: UpdateWorld) {
  this.sent = [];
  addEngine(this, this.engines);
  this.updates.sendChanges();
});

When('a version is named', function name(this: UpdateWorld) {
  this.sent = [];
  apply(this, 'op/version/m', { Model: 'm', Version: 2 });
  this.updates.sendChanges();
});

Then('each agent got {int} updates', function times(this: UpdateWorld, count: number) {
  const hosts = this.sent.flatMap((update) => update.hosts);
  const counts = new Map<string, number>();
  hosts.forEach((host) => counts.set(host, (counts.get(host) ?? 0) + 1));
  assert.equal(counts.size, this.engines);
  assert.ok([...counts.values()].every((each) => each === count));
});

Then('at most {int} agents got one in a round', function spread(this: UpdateWorld, most: number) {
  assert.ok(Math.max(...this.perRound) <= most, this.perRound.join());
});

Then(
  'the agent of that engine got {int} updates, and each other at most one',
  function again(this: UpdateWorld, count: number) {
    const hosts = this.sent.flatMap((update) => update.hosts);
    const { directory } = this.largeFleet;
    [...directory.all].forEach(({ id, endpoint }) => {
      const got = hosts.filter((host) => host === getHost(endpoint.address)).length;
      assert.ok(id === silentEngine ? got === count : got <= 1, `${id} got ${got}`);
    });
  },
);

Then('each agent gets one update', function each(this: UpdateWorld) {
  const hosts = this.sent.flatMap((update) => update.hosts);
  assert.equal(hosts.length, this.engines);
  assert.equal(new Set(hosts).size, this.engines);
});

Then(
  '{int} entries send the weights to each agent of their region',
  function few(this: UpdateWorld, count: number) {
    assert.equal(count, notifiers);
    assert.deepEqual(hostsWithWeights(this).sort(), findNotified(this).sort());
    assert.ok(findNotified(this).length > 0);
  },
);

Then('at most {int} datagrams were encoded', function encoded(this: UpdateWorld, most: number) {
  assert.ok(this.sent.length <= most, `${this.sent.length} datagrams`);
});

Then('no agent gets an update', function none(this: UpdateWorld) {
  assert.deepEqual(this.sent, []);
});

Then(
  'only agents that get the weights from this entry get an update',
  function only(this: UpdateWorld) {
    assert.ok(this.sent.length > 0);
    assert.ok(this.sent.every(({ value }) => value.weights));
    assert.deepEqual(hostsWithWeights(this).sort(), findNotified(this).sort());
  },
);

Then('its agent gets an update at once', function starts(this: UpdateWorld) {
  const host = getHost(createEndpoint(this.engines).address);
  assert.equal(this.sent.filter(({ hosts }) => hosts.includes(host)).length, 1);
});

Then('agents of its own and of other regions get the version', function named(this: UpdateWorld) {
  const { directory } = this.largeFleet;
  const withWeights = new Set(hostsWithWeights(this));
  const told = [...directory.all].filter(({ endpoint }) =>
    withWeights.has(getHost(endpoint.address)),
  );
  assert.ok(this.sent.every(({ value }) => value.weights?.version === 2));
  assert.ok(told.some(({ isLocal }) => isLocal));
  assert.ok(told.some(({ isLocal }) => !isLocal));
});

const endpointIndices: Readonly<Record<string, number>> = {
  'an engine of its region': 0,
  'an engine of another region': 3,
  'a plain endpoint': plainIndex,
};

When(/^its load at (.+) changes$/, function change(this: UpdateWorld, endpoint: string) {
  const { settings, state, directory, clock } = this.largeFleet;
  state.setEndpoint(createEndpoint(plainIndex), 0);
  directory.refresh();
  this.loads = 0;
  const datagrams = {
    sendAll: ({ case: kind }: DatagramContent): void => {
      if (kind === 'load') this.loads += 1;
    },
  };
  const peers = new EntryPeers(settings, state);
  const broadcast = new LoadBroadcast(peers, directory, datagrams, clock);
  broadcast.recordChange(directory.get(`e${endpointIndices[endpoint]!}`)!);
});

Then(
  '{int} broadcasts of its load are sent',
  async function broadcasts(this: UpdateWorld, count: number) {
    await sleep(broadcastWaitMs);
    assert.equal(this.loads, count);
  },
);

Then(
  'each agent that gets the weights from this entry got them {int} times',
  function repeated(this: UpdateWorld, count: number) {
    const hosts = hostsWithWeights(this);
    findNotified(this).forEach((host) =>
      assert.equal(hosts.filter((each) => each === host).length, count),
    );
  },
);
