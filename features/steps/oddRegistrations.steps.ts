import assert from 'node:assert/strict';
import { openSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PlatformProgram, makeEntrySettings } from '@laburnumstream/bench';
import { parseLogLine } from '@laburnumstream/cli';
import type { LogLine } from '@laburnumstream/cli';
import { Behaviours, PlatformEngine } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { Callers } from '../support/callers.js';
import type { CallerResult } from '../support/callers.js';
import { parseMetrics } from '../support/metricsText.js';
import {
  oddEndpointIds,
  oddRegistrations,
  soundRegistration,
} from '../support/oddRegistrations.js';
import { oddHeaders, oddValues } from '../support/oddValues.js';
import { PlatformFleet, createModelConfiguration } from '../support/platformFleet.js';

/** An entry process, its callers and the path of its log. */
interface OddProgram {
  readonly program: PlatformProgram;
  readonly callers: Callers;
  readonly log: string;
}

interface OddWorld {
  oddFleet: PlatformFleet;
  oddPrograms: OddProgram[];
  lateEngine: PlatformEngine;
  oddResults: CallerResult[];
  /** Keys of the odd registrations that were written. */
  oddKeys: string[];
}

const secondMs = 1_000;
const maxLineLength = 1_500;
/** Time after which entries that have started together read from one that reads the store, in milliseconds. */
const settleMs = 4_000;
/** Time within which entries stop using an engine whose registration has ended, in milliseconds. */
const drainMs = 2_000;

async function readMetric({ program }: OddProgram, name: string): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${program.metricsPort}/metrics`);
  return parseMetrics(await response.text())
    .filter((sample) => sample.name === name)
    .reduce((sum, { value }) => sum + value, 0);
}

async function isReady(running: OddProgram): Promise<boolean> {
  return readMetric(running, 'endpoints').then(
    (endpoints) => endpoints > 0,
    () => false,
  );
}

async function startProgram({ store }: PlatformFleet, name: string): Promise<OddProgram> {
  const lines = await makeEntrySettings(store.address);
  const program = new PlatformProgram();
  program.write({ ...lines, NodeName: name });
  const log = join(program.file, '..', 'log');
  await program.start(openSync(log, 'w'));
  return { program, callers: new Callers(lines['Listen.Front']!), log };
}

function readLines({ log }: OddProgram): LogLine[] {
  return readFileSync(log, 'utf8')
    .split('\n')
    .flatMap((text) => parseLogLine(text) ?? []);
}

function readUnreadable(running: OddProgram): LogLine[] {
  return readLines(running).filter(
    ({ message }) => message === 'store: Invalid value in the store ignored.',
  );
}

async function startFleet(world: OddWorld, engines: number, entries: number): Promise<void> {
  const behaviours = new Array(engines).fill(Behaviours.answers);
  Object.assign(world, { oddFleet: await PlatformFleet.start(behaviours), oddPrograms: [] });
  for (let index = 1; index <= entries; index += 1) {
    world.oddPrograms.push(await startProgram(world.oddFleet, `front-${index}`));
  }
  for (const running of world.oddPrograms) {
    await eventually(() => isReady(running), 'the entries are ready');
  }
}

/** Sends requests to all entries in turn at a rate, for a time. */
async function sendFor(world: OddWorld, perSecond: number, ms: number): Promise<CallerResult[]> {
  const share = perSecond / world.oddPrograms.length;
  const count = Math.round((share * ms) / secondMs);
  const results = world.oddPrograms.map(({ callers }) => callers.flood('/safe/x', count, share));
  return (await Promise.all(results)).flat();
}

function countStatuses(results: readonly CallerResult[]): string {
  const counts = new Map<number, number>();
  results.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
  return [...counts].map(([status, count]) => `${count} got ${status}`).join(', ');
}

After(async function close(this: Partial<OddWorld>) {
  this.oddPrograms?.forEach(({ program, callers }) => {
    program.close();
    callers.close();
  });
  this.lateEngine?.close();
  await this.oddFleet?.close();
});

Given(
  /^two entry programs and four engines( that send odd headers)?$/,
  async function two(this: OddWorld, isOdd: string | null) {
    await startFleet(this, 4, 2);
    if (!isOdd) return;
    this.oddFleet.engines.forEach(({ addedHeaders }, index) =>
      Object.assign(addedHeaders, oddHeaders[index]),
    );
  },
);

When(
  'callers send 28 requests a second and another writer leaves odd registrations after 3 seconds',
  async function odd(this: OddWorld) {
    const { store } = this.oddFleet;
    const before = sendFor(this, 28, 3 * secondMs);
    await sleep(3 * secondMs);
    Object.entries(oddRegistrations).forEach(([id, value]) =>
      store.writeBytes(`servers/${id}`, value),
    );
    oddEndpointIds.forEach((id) => store.write(`servers/${id}`, soundRegistration));
    this.oddKeys = [...Object.keys(oddRegistrations), ...oddEndpointIds];
    this.oddResults = [...(await before), ...(await sendFor(this, 28, 8 * secondMs))];
  },
);

Then('all of these requests are served', function served(this: OddWorld) {
  const failed = this.oddResults.filter(({ status }) => status !== 200);
  assert.equal(failed.length, 0, countStatuses(this.oddResults));
});

Then(
  'both programs run and name each odd registration in a bounded line and a counter',
  async function named(this: OddWorld) {
    for (const running of this.oddPrograms) {
      assert.ok(running.program.isRunning, running.program.errors);
      const lines = readUnreadable(running);
      const keys = lines.map(({ key }) => String(key).slice('servers/'.length));
      assert.deepEqual(keys.sort(), [...this.oddKeys].sort());
      lines.forEach((line) => assert.ok(JSON.stringify(line).length <= maxLineLength));
      const counted = await readMetric(running, 'store_values_unreadable_total');
      assert.equal(counted, this.oddKeys.length);
    }
  },
);

Then('an engine that comes later is sent requests', async function later(this: OddWorld) {
  this.lateEngine = await PlatformEngine.start('late', Behaviours.answers);
  this.oddFleet.registerEngine(this.lateEngine, 'ready');
  await sendFor(this, 28, 2 * secondMs);
  assert.ok(this.lateEngine.startedRequestIds.length > 0);
});

Given(
  'an entry program, an engine and the configuration of a model',
  async function model(this: OddWorld) {
    await startFleet(this, 1, 1);
    this.oddFleet.store.write('op/config', createModelConfiguration(2));
    await sleep(secondMs);
  },
);

When(
  'another writer leaves a registration of a model engine with an odd version of its weights',
  function layers(this: OddWorld) {
    const id = 'layers-version-near-largest';
    this.oddFleet.store.writeBytes(`servers/${id}`, oddRegistrations[id]!);
  },
);

Then('the program runs and serves', async function runs(this: OddWorld) {
  const results = await sendFor(this, 10, 4 * secondMs);
  const { program } = this.oddPrograms[0]!;
  assert.ok(program.isRunning, program.errors.slice(0, 1_000));
  assert.ok(
    results.every(({ status }) => status === 200),
    countStatuses(results),
  );
});

When(
  'another writer leaves odd values under each prefix that entries read',
  async function values(this: OddWorld) {
    oddValues.forEach(([key, value]) => this.oddFleet.store.writeBytes(key, value));
    this.oddFleet.store.writeBytes('op/configuration', '{}');
    this.oddKeys = oddValues.map(([key]) => key);
    await sleep(2 * secondMs);
  },
);

Then(
  'the programs run and serve with the sound configuration',
  async function serve(this: OddWorld) {
    const results = await sendFor(this, 28, 3 * secondMs);
    assert.ok(
      results.every(({ status }) => status === 200),
      countStatuses(results),
    );
    for (const running of this.oddPrograms) {
      assert.ok(running.program.isRunning, running.program.errors);
      assert.equal(await readMetric(running, 'configuration_version'), 1);
    }
  },
);

Then('both programs name each of these values in a bounded line', function lines(this: OddWorld) {
  this.oddPrograms.forEach((running) => {
    const found = readUnreadable(running);
    assert.deepEqual(new Set(found.map(({ key }) => key)), new Set(this.oddKeys));
    found.forEach((line) => assert.ok(JSON.stringify(line).length <= maxLineLength));
  });
});

When('callers send 28 requests a second for 6 seconds', async function send(this: OddWorld) {
  this.oddResults = await sendFor(this, 28, 6 * secondMs);
});

Then('both programs run', function run(this: OddWorld) {
  this.oddPrograms.forEach(({ program }) => assert.ok(program.isRunning, program.errors));
});

When(
  'another writer replaces the registration of one engine by an odd one',
  async function replace(this: OddWorld) {
    // Entries that have just started may read from each other for a while.
    await sleep(settleMs);
    const { store } = this.oddFleet;
    store.writeBytes('servers/e0', oddRegistrations['port-out-of-range']!);
    await sleep(drainMs);
  },
);

Then(
  'that engine is sent no requests and all of them are served',
  async function unused(this: OddWorld) {
    const [engine] = this.oddFleet.engines;
    const before = engine!.startedRequestIds.length;
    const results = await sendFor(this, 28, 3 * secondMs);
    assert.ok(
      results.every(({ status }) => status === 200),
      countStatuses(results),
    );
    assert.equal(engine!.startedRequestIds.length - before, 0);
  },
);

Then(
  'it is sent requests again after its own registration returns',
  async function again(this: OddWorld) {
    const [engine] = this.oddFleet.engines;
    const before = engine!.startedRequestIds.length;
    this.oddFleet.registerEngine(engine!, 'ready');
    await sleep(secondMs);
    await sendFor(this, 28, 2 * secondMs);
    assert.ok(engine!.startedRequestIds.length > before);
  },
);
