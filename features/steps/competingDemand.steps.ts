import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DemandSums, DemandWindow } from '@laburnumstream/decisions';
import type { EndpointHandle } from '@laburnumstream/forwarding';
import { DemandFleet, adaptiveService, createReport } from '../support/demandFleet.js';
import { LargeFleet } from '../support/largeFleet.js';
import { createPlacementRequest } from '../support/placementRequest.js';
import { PrioritySimulation, servedPart } from '../support/prioritySimulation.js';
import type { PriorityLoad, PriorityResult } from '../support/prioritySimulation.js';

interface DemandWorld {
  load: Omit<PriorityLoad, 'seed' | 'seconds'>;
  /** Results by seed. */
  runs: readonly (readonly PriorityResult[])[];
  window: DemandWindow;
  sums: DemandSums;
  demandFleet: DemandFleet;
  service: string;
}

const seeds = [1, 2, 3] as const;
const priorities = [0, 1, 2] as const;
const settledMs = 2_000;
const secondMs = 1_000;
const regionEntries = 12;
const requestsPerRegion = 5;
/** Bytes of a datagram around its report: sender, sequence and start, and the headers of the network. */
const envelopeBytes = 70;

/** Whether entries hear of each other, by the fault of the scenario; the fault lasts from second 5 to 9. */
const faults: Readonly<Record<string, (entry: number) => boolean>> = {
  'every entry hears nothing': () => false,
  'every 4th entry is frozen': (entry) => entry % 4 !== 0,
  'every 2nd entry is cut off': (entry) => entry % 2 !== 0,
};

/** Reports with faults, and the number of their priorities. */
const faultyReports: Readonly<Record<string, ReturnType<typeof createReport>>> = {
  '1000 priorities': createReport({}, 1_000),
  'an unknown service': createReport({ service: 'other' }),
  'an unknown region': createReport({ region: 'r9' }),
  'its own region': createReport({ region: 'r0' }),
};

function servedOfAll(results: readonly PriorityResult[]): number {
  const settled = results.filter(({ arrivedAt }) => arrivedAt >= settledMs);
  return settled.filter(({ isServed }) => isServed).length / settled.length;
}

Given(
  /^12 entries share 9 engines, and (\d+), (\d+) and (\d+) requests of priorities 0, 1 and 2 arrive per second$/,
  function share(this: DemandWorld, urgent: string, middle: string, least: string) {
    this.load = { perSecond: [urgent, middle, least].map(Number) };
  },
);

Given(
  /^priority 2 sends (\d+) times as many from second (\d+) to (\d+)$/,
  function jump(this: DemandWorld, factor: string, from: string, to: string) {
    const phase = { from: Number(from) * secondMs, to: Number(to) * secondMs };
    this.load = { ...this.load, jump: { ...phase, factor: Number(factor) } };
  },
);

Given(/^(every .+) from second 5 to 9$/, function fault(this: DemandWorld, name: string) {
  const hears = (entry: number, now: number): boolean =>
    now < 5 * secondMs || now >= 9 * secondMs || faults[name]!(entry);
  this.load = { ...this.load, hears };
});

When(
  /^they are served for (\d+) seconds with each of 3 seeds$/,
  function serve(this: DemandWorld, seconds: string) {
    this.runs = seeds.map((seed) =>
      new PrioritySimulation({ ...this.load, seed, seconds: Number(seconds) }).run(),
    );
  },
);

Then(
  /^no priority is served less often than a less urgent one by more than (\d+) in 100$/,
  function ordered(this: DemandWorld, margin: string) {
    this.runs.forEach((results, index) => {
      const [urgent, middle, least] = priorities.map((each) =>
        servedPart(results, each, settledMs),
      );
      const gap = Math.max(middle! - urgent!, least! - middle!, least! - urgent!);
      const served = `seed ${seeds[index]}: ${urgent}, ${middle}, ${least}`;
      assert.ok(gap <= Number(margin) / 100, served);
    });
  },
);

Then('each is served at least a quarter as often as all', function floor(this: DemandWorld) {
  this.runs.forEach((results) => {
    const least = Math.min(...priorities.map((each) => servedPart(results, each, settledMs)));
    assert.ok(least >= servedOfAll(results) / 4, `${least} of ${servedOfAll(results)}`);
  });
});

Then(
  /^priority (\d) is served at least ([\d.]+) of the time$/,
  function served(this: DemandWorld, priority: string, least: string) {
    this.runs.forEach((results) => {
      const part = servedPart(results, Number(priority), settledMs);
      assert.ok(part >= Number(least), `${part}`);
    });
  },
);

Then(
  /^(?:priorities|priority) ([\d and]+) (?:are|is) served at least ([\d.]+) of the time from second (\d+) to (\d+)$/,
  function during(this: DemandWorld, names: string, least: string, from: string, to: string) {
    this.runs.forEach((results) =>
      names.split(' and ').forEach((name) => {
        const span = [Number(from) * secondMs, Number(to) * secondMs] as const;
        const part = servedPart(results, Number(name), ...span);
        assert.ok(part >= Number(least), `priority ${name}: ${part}`);
      }),
    );
  },
);

Given(
  /^an entry of a region of 12 with (\d+) refused requests of priority 0$/,
  function alone(this: DemandWorld, count: string) {
    this.window = new DemandWindow();
    this.sums = new DemandSums();
    for (let index = 0; index < Number(count); index += 1) this.window.record(0, 'refused', 0);
  },
);

function refusedAt({ window, sums }: DemandWorld, now: number): number {
  return sums.sumRegion(window.read(0), regionEntries, now)[0]!.refused;
}

Then(
  /^it assumes (\d+) refused requests while it hears nothing$/,
  function assume(this: DemandWorld, refused: string) {
    assert.equal(refusedAt(this, 0), Number(refused));
  },
);

Then(
  /^(\d+) after another entry has reported (\d+)$/,
  function report(this: DemandWorld, refused: string, reported: string) {
    const counts = { priority: 0, arrived: 0, placedInTime: 0, placedLate: 0, waiting: 0 };
    this.sums.recordPart('peer', [{ ...counts, refused: Number(reported) }], 0);
    assert.equal(refusedAt(this, 0), Number(refused));
  },
);

Then(
  /^(\d+) again (\d+) second later$/,
  function later(this: DemandWorld, refused: string, seconds: string) {
    assert.equal(refusedAt(this, Number(seconds) * secondMs), Number(refused));
  },
);

/** Records requests at the first entry of each region, at several times of the coming seconds. */
function requestAtEach({ demandFleet: fleet, service }: DemandWorld): void {
  const first = fleet.entries.filter((_, index) => index % regionEntries === 0);
  first.forEach(({ control: { admission } }) => {
    for (let at = 0; at <= 2 * secondMs; at += secondMs / requestsPerRegion)
      fleet.clock.schedule(at + 1, () => {
        const request = createPlacementRequest(`r${at}`, { service });
        admission.recordArrival(request, fleet.clock.now());
        admission.recordRefusal(request, fleet.clock.now());
      });
  });
}

Given(
  /^3 regions of 12 entries, and requests of (an adaptive|another) service at one entry of each$/,
  function regions(this: DemandWorld, kind: string) {
    this.demandFleet = new DemandFleet();
    this.service = kind === 'another' ? 'other' : adaptiveService;
    requestAtEach(this);
  },
);

When(
  /^the entries exchange their demand for (\d+) seconds$/,
  async function exchange(this: DemandWorld, seconds: string) {
    await this.demandFleet.run(Number(seconds) * secondMs);
  },
);

Then('each entry knows the demand of all regions', function known(this: DemandWorld) {
  this.demandFleet.entries.forEach((entry) => {
    const demand = DemandFleet.knownDemand(entry);
    assert.deepEqual([...demand.keys()].sort(), ['r0', 'r1', 'r2'], entry.name);
    demand.forEach((perSecond, region) =>
      assert.ok(Math.abs(perSecond - requestsPerRegion) <= 1, `${entry.name} ${region}`),
    );
  });
});

Then(
  /^between two regions they took at most ([\d.]+) percent of (\d+) Mbit\/s each way$/,
  function bytes(this: DemandWorld, percent: string, megabits: string) {
    const { remoteSizes, clock } = this.demandFleet;
    const sum = remoteSizes.reduce((total, size) => total + size + envelopeBytes, 0);
    // Reports of each of 3 regions go to the 2 others.
    const bitsPerSecond = (sum * 8) / 6 / (clock.now() / secondMs);
    const most = Number(megabits) * 1_000_000 * (Number(percent) / 100);
    assert.ok(sum > 0 && bitsPerSecond <= most, `${bitsPerSecond} bits per second`);
  },
);

Then('no datagram was sent', function silent(this: DemandWorld) {
  assert.equal(this.demandFleet.datagrams, 0);
});

Then('each request of it may take any place', function any(this: DemandWorld) {
  const [handle] = new LargeFleet(1, 1).directory.all;
  for (let index = 0; index < 20; index += 1) (handle as EndpointHandle).load.recordStart(0);
  const request = createPlacementRequest('r', { service: this.service, priority: 2 });
  this.demandFleet.entries.forEach(({ control }) =>
    assert.ok(control.admission.admits(request, handle!, this.demandFleet.clock.now())),
  );
});

When(/^an entry hears a report with (.+)$/, function hear(this: DemandWorld, fault: string) {
  const [entry] = this.demandFleet.entries;
  entry!.exchange.receive(faultyReports[fault]!, { sender: 'r0-1' });
  entry!.exchange.exchange();
});

Then('it knows no other demand than before', function unchanged(this: DemandWorld) {
  const [entry] = this.demandFleet.entries;
  const known = [...DemandFleet.knownDemand(entry!)];
  assert.ok(known.every(([region, perSecond]) => region === 'r0' && perSecond === 0));
});
