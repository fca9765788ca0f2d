import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PlatformProgram, makeEntrySettings } from '@laburnumstream/bench';
import type { SettingsLines } from '@laburnumstream/bench';
import { SleepAwareClock } from '@laburnumstream/common';
import { ConfigurationFreshness } from '@laburnumstream/decisions';
import { DatedStore, FleetWatcher, FleetState } from '@laburnumstream/forwarding';
import { FleetDatagrams } from '@laburnumstream/links';
import { StoreClient, storeCodec } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { PlatformStore } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { platformBounds } from '../support/platformBounds.js';
import {
  PlatformFleet,
  createConfiguration,
  createModelConfiguration,
} from '../support/platformFleet.js';

interface ProgramsWorld {
  programStore: PlatformStore;
  programLines: SettingsLines;
  program: PlatformProgram;
  watcherAbort: AbortController;
  fleetState: FleetState;
  returnedAt: number;
  platform: PlatformFleet;
  receivedVersions: number[];
}

const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const clock = new SystemClock();

async function fetchStatus(url: string): Promise<number> {
  try {
    return (await fetch(url)).status;
  } catch {
    // The program isn't listening yet.
    return 0;
  }
}

After(function close(this: Partial<ProgramsWorld>) {
  this.program?.close();
  this.programStore?.close();
  this.watcherAbort?.abort();
});

Given(
  /^a settings file of an entry(?: without the line (\S+))?$/,
  async function settings(this: ProgramsWorld, missing: string | null) {
    this.programStore = await PlatformStore.start();
    this.programStore.write('op/config', createConfiguration(1, ['key-1']));
    this.programLines = await makeEntrySettings(this.programStore.address);
    if (missing) delete this.programLines[missing];
    this.program = new PlatformProgram();
    this.program.write(this.programLines);
  },
);

When('the entry program is started', async function start(this: ProgramsWorld) {
  await this.program.start();
});

Then(
  /^it ends with exit code 2 and one line that names (\S+)$/,
  async function named(this: ProgramsWorld, field: string) {
    assert.equal(await this.program.waitForExit(), 2);
    const lines = this.program.errors.trim().split('\n');
    assert.equal(lines.length, 1, this.program.errors);
    assert.ok(lines[0]!.includes(field), lines[0]);
  },
);

When(
  'it gets SIGHUP with a settings file that is broken',
  async function reload(this: ProgramsWorld) {
    const ready = `http://${this.programLines['Listen.Ready']}/`;
    await eventually(async () => (await fetchStatus(ready)) === 200, 'the entry is ready');
    this.program.write({ ...this.programLines, HeartbeatMs: 'often' });
    this.program.signal('SIGHUP');
    await sleep(300);
  },
);

Then('it still says that it is ready', async function ready(this: ProgramsWorld) {
  assert.equal(await fetchStatus(`http://${this.programLines['Listen.Ready']}/`), 200);
});

Then('its metrics are served', async function metrics(this: ProgramsWorld) {
  const answer = await fetch(`http://127.0.0.1:${this.program.metricsPort}/metrics`);
  assert.match(await answer.text(), /^configuration_version 1$/m);
});

Then(
  /^after SIGTERM it ends with exit code 0 within (\d+) seconds$/,
  async function stop(this: ProgramsWorld, seconds: string) {
    const startedAt = clock.now();
    this.program.signal('SIGTERM');
    assert.equal(await this.program.waitForExit(), 0);
    assert.ok(clock.now() - startedAt <= Number(seconds) * 1_000);
  },
);

/** Starts a watcher that applies the store's content to `world.fleetState`. */
function startWatcher(world: ProgramsWorld): void {
  Object.assign(world, { watcherAbort: new AbortController() });
  const metrics = new HistogramMetrics();
  Object.assign(world, { fleetState: new FleetState(metrics, silentLog, () => undefined) });
  const proofClock = new SleepAwareClock(clock);
  const watcher = new FleetWatcher(
    new DatedStore(new StoreClient(world.programStore.address), proofClock, platformBounds),
    storeCodec,
    world.fleetState,
    new ConfigurationFreshness(4_600, 2_500),
    proofClock,
    clock,
    metrics,
    silentLog,
    platformBounds,
  );
  void watcher.run(world.watcherAbort.signal);
}

Given(
  'a feed that starts while its store refuses calls and version 2 is named already',
  async function late(this: ProgramsWorld) {
    this.programStore = await PlatformStore.start();
    this.programStore.write('op/version/m', { Model: 'm', Version: 2 });
    this.programStore.forcedStatus = 503;
    startWatcher(this);
    await sleep(500);
    this.programStore.forcedStatus = undefined;
    this.returnedAt = clock.now();
    await eventually(() => this.fleetState.namedVersions('m')?.newest === 2, 'version 2 is known');
  },
);

Then(
  "the version counts as named at least 5.5 seconds before the store's return",
  function nearlyDue(this: ProgramsWorld) {
    const namedAt = this.fleetState.namedVersions('m')!.namedAt(2)!;
    assert.ok(this.returnedAt - namedAt >= 5_500, `${this.returnedAt - namedAt} ms before`);
  },
);

Given(
  'a feed of a store that refuses calls for 2 seconds, in which version 2 is named',
  async function feed(this: ProgramsWorld) {
    this.programStore = await PlatformStore.start();
    this.programStore.write('op/version/m', { Model: 'm', Version: 1 });
    startWatcher(this);
    await eventually(() => this.fleetState.namedVersions('m')?.newest === 1, 'version 1 is known');
    this.programStore.forcedStatus = 503;
    await sleep(1_200);
    this.programStore.write('op/version/m', { Model: 'm', Version: 2 });
    await sleep(800);
    this.programStore.forcedStatus = undefined;
    this.returnedAt = clock.now();
    await eventually(() => this.fleetState.namedVersions('m')?.newest === 2, 'version 2 is known');
  },
);

Then(
  "the version counts as named not more than 1 second before the store's return",
  function counted(this: ProgramsWorld) {
    const namedAt = this.fleetState.namedVersions('m')!.namedAt(2)!;
    assert.ok(namedAt >= this.returnedAt - 1_000, `${this.returnedAt - namedAt} ms before`);
  },
);

Given('an entry in one region and an agent in another', async function apart(this: ProgramsWorld) {
  this.platform = await PlatformFleet.start([]);
  const { store, settings } = this.platform;
  Object.assign(settings, {
    regions: new Map([
      ['a', 'r'],
      ['b', 's'],
    ]),
  });
  store.write('op/config', createModelConfiguration(1));
  store.write('op/version/m', { Model: 'm', Version: 1 });
  store.write('servers/far', {
    Service: 'model',
    Address: '127.0.0.3:9',
    Zone: 'b',
    Slots: 16,
    State: 'ready',
    layers: { From: 0, To: 16, Version: 1 },
    born: 1,
  });
  this.receivedVersions = [];
  this.watcherAbort = new AbortController();
  const agent = new FleetDatagrams(
    'side-1',
    { fleet: ({ weights }) => weights && this.receivedVersions.push(weights.version) },
    clock,
    new HistogramMetrics(),
    silentLog,
  );
  await agent.bind('127.0.0.3', settings.firstPort, this.watcherAbort.signal);
  await this.platform.startEntry();
  await eventually(
    () => this.platform.logEntries.some(({ message }) => message === 'registration: Registered.'),
    'the entry is registered',
  );
});

When('version 2 is named', function name(this: ProgramsWorld) {
  this.platform.store.write('op/version/m', { Model: 'm', Version: 2 });
});

Then('the agent hears of it within 2 seconds', async function hears(this: ProgramsWorld) {
  await eventually(
    () => this.receivedVersions.includes(2),
    'the agent is informed of version 2',
    2_000,
  );
});

Then(
  'a datagram that is sent after its socket has closed is dropped',
  async function dropped(this: ProgramsWorld) {
    this.watcherAbort = new AbortController();
    const metrics = new HistogramMetrics();
    const datagrams = new FleetDatagrams('front-1', {}, clock, metrics, silentLog);
    await datagrams.bind('127.0.0.1', 0, this.watcherAbort.signal);
    this.watcherAbort.abort();
    const content = { case: 'fleet', value: { reportEveryMs: 300 } } as const;
    assert.doesNotThrow(() => datagrams.send(content, '127.0.0.1'));
  },
);
