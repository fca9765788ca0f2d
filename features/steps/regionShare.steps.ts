import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { UnevenRegions, VirtualRegionEntry, summarize } from '@laburnumstream/bench';
import type { ClassResult, UnevenShape, VirtualPlace } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import { bestPlacement, capacityShare, divideRoom } from '@laburnumstream/decisions';
import type { RegionDemand } from '@laburnumstream/decisions';
import { EntryPeers, LoadBroadcast } from '@laburnumstream/forwarding';
import type { EndpointHandle } from '@laburnumstream/forwarding';
import type { DatagramContent } from '@laburnumstream/links';
import type { EntryLoad } from '@laburnumstream/protocol';
import { VirtualClock } from '@laburnumstream/standins';

type RunShape = Omit<UnevenShape, 'seed' | 'isAdaptive'>;

/** Part of the room of region 1 that region 0 may use, at a time. */
interface LentPart {
  readonly at: number;
  readonly part: number;
}

interface RegionWorld {
  regionDemands: readonly RegionDemand[];
  runShape: RunShape;
  regionRuns: readonly (readonly ClassResult[])[];
  lent: LentPart[];
  clock: VirtualClock;
  /** Two entries of one region. */
  pair: readonly VirtualRegionEntry[];
  sentLoads: EntryLoad[];
}

const seeds = [1, 2] as const;
const secondMs = 1_000;
const demandFactor = 2.2;
/** Equal demand that engines of two regions are a fifth short of, in requests per second. */
const evenDemand = [85, 85, 85] as const;
const evacuated = { region: 0, from: 4_000, to: 11_000 } as const;

function createShape(
  [first, second, third]: readonly [number, number, number],
  faults: Partial<RunShape> = {},
): RunShape {
  return {
    seconds: 11,
    regions: [
      { entries: 13, engines: 10, perSecond: first },
      { entries: 12, engines: 9, perSecond: second },
      { entries: 12, engines: 9, perSecond: third },
    ],
    classFactors: [0, demandFactor, 0],
    ...faults,
  };
}

const runShapes: Readonly<Record<string, RunShape>> = {
  'region 0 evacuated': createShape(evenDemand, { evacuation: evacuated }),
  'region 0 evacuated in silence': createShape(evenDemand, {
    evacuation: evacuated,
    silence: { from: 3_000, to: 11_000 },
  }),
  'demand of 100, 160 and 140 per second': createShape([100, 160, 140]),
  'region 0 evacuated until second 8': createShape(evenDemand, {
    seconds: 12,
    evacuation: { ...evacuated, to: 8_000 },
  }),
};

function splitNumbers(text: string): (number | undefined)[] {
  return text.split(', ').map((each) => (each === '?' ? undefined : Number(each)));
}

Given(
  /^regions a, b and c with (\d+) entries each, demands (.+) and places (.+)$/,
  function regions(this: RegionWorld, entries: string, demands: string, places: string) {
    const arrived = splitNumbers(demands);
    this.regionDemands = splitNumbers(places).map((each, index) => ({
      region: 'abc'[index]!,
      entries: Number(entries),
      arrived: arrived[index],
      places: each!,
    }));
  },
);

Then(
  /^of the room in b, a gets (\S+), b (\S+) and c (\S+)$/,
  function parts(this: RegionWorld, first: string, own: string, third: string) {
    const { local, remote } = divideRoom('b', this.regionDemands) ?? {};
    const found = [remote?.get('a'), local, remote?.get('c')];
    assert.deepEqual(
      found.map((part) => (part === undefined ? 'none' : String(Math.round(part * 100) / 100))),
      [first, own, third],
    );
  },
);

Then(
  /^an entry with a part of (\S+) and (\d+) requests too many may send (\S+) to an engine with (\d+) free places$/,
  (part: string, excess: string, requests: string, free: string) => {
    const sharers = { local: 12, remote: 24, isLocal: true };
    const own = { ownPart: Number(part), excess: Number(excess) };
    const share = capacityShare(Number(free), { ...sharers, ...own }, { next: () => 0 });
    assert.equal(share + 0, Number(requests));
  },
);

Given(
  /^37 entries of 3 regions, 28 engines and requests of one priority, (.+)$/,
  function fleet(this: RegionWorld, name: string) {
    this.runShape = runShapes[name]!;
  },
);

When(/^they are simulated with each of 2 seeds$/, async function simulate(this: RegionWorld) {
  this.lent = [];
  const runs: (readonly ClassResult[])[] = [];
  for (const seed of seeds) {
    const run = new UnevenRegions({ ...this.runShape, seed, isAdaptive: true });
    const entry = run.entries.find(({ settings }) => settings.region === 'r1')!;
    run.observe(secondMs / 2, (at) => {
      const part = entry.demand
        .gauges()
        .find(({ name, labels }) => name === 'region_room_share' && labels?.region === 'r0');
      this.lent.push({ at, part: part?.value ?? 0 });
    });
    runs.push(await run.run());
  }
  this.regionRuns = runs;
});

Then(
  /^from second (\d+) on the callers of each region are served at least ([\d.]+) times as often as all$/,
  function even(this: RegionWorld, from: string, least: string) {
    this.regionRuns.forEach((results, index) => {
      const late = results.filter(({ request }) => request.arrivesAt >= Number(from) * secondMs);
      const all = summarize(late).served;
      const served = this.runShape.regions.map(
        (_, region) => summarize(late.filter((each) => each.region === region)).served / all,
      );
      assert.ok(
        Math.min(...served) >= Number(least),
        `seed ${seeds[index]}: ${served.join()} of ${all}`,
      );
    });
  },
);

Then(
  /^region 0 may use at (least|most) ([\d.]+) of the room of region 1 from second (\d+) to (\d+)$/,
  function lent(this: RegionWorld, side: string, limit: string, from: string, to: string) {
    const parts = this.lent
      .filter(({ at }) => at >= Number(from) * secondMs && at < Number(to) * secondMs)
      .map(({ part }) => part);
    assert.ok(parts.length > 0);
    const isMet = (part: number): boolean =>
      side === 'least' ? part >= Number(limit) : part <= Number(limit);
    assert.ok(parts.every(isMet), parts.join());
  },
);

/** Creates two entries of one region, and an engine there and in another region. */
function createPair(world: RegionWorld): void {
  const place = (name: string, net: number, region: string): VirtualPlace => ({
    name,
    host: `10.${net}.0.1`,
    region,
  });
  const entries = [place('entry-0', 1, 'r0'), place('entry-1', 2, 'r0')];
  const engines = [place('near', 3, 'r0'), place('far', 4, 'r1')];
  const clock = new VirtualClock();
  const pair = entries.map(
    (self) =>
      new VirtualRegionEntry({
        self,
        entries,
        engines,
        isAdaptive: true,
        clock,
        random: new SeededRandom(1),
        send: () => undefined,
      }),
  );
  Object.assign(world, { clock, pair });
}

Given(
  /^an engine of this region with (\d+) requests, and an idle one of another region at (\S+) ms$/,
  function engines(this: RegionWorld, count: string, delay: string) {
    createPair(this);
    const [near, far] = this.pair[0]!.handles as [EndpointHandle, EndpointHandle];
    for (let index = 0; index < Number(count); index += 1) near.load.recordStart(0);
    if (delay !== 'unknown') Object.assign(far, { pathDelayMs: Number(delay) });
  },
);

Then(
  /^a request is placed in (this region|another region)$/,
  function placed(this: RegionWorld, region: string) {
    const random = new SeededRandom(1);
    const demand = { promptTokens: 900, answerTokens: 100 };
    for (let round = 0; round < 50; round += 1) {
      const best = bestPlacement(this.pair[0]!.handles, demand, this.clock.now(), random);
      assert.equal(best!.target.isLocal, region === 'this region');
    }
  },
);

function createBroadcast(
  { clock }: RegionWorld,
  { settings, state, directory }: VirtualRegionEntry,
  sent: DatagramContent[] = [],
): LoadBroadcast {
  const datagrams = { sendAll: (content: DatagramContent) => sent.push(content) };
  return new LoadBroadcast(new EntryPeers(settings, state), directory, datagrams, clock);
}

Given(
  /^an entry with 2 requests at an engine, a window of (\d+) and (\d+) held tokens$/,
  function load(this: RegionWorld, window: string, heldTokens: string) {
    createPair(this);
    const own = {
      requests: 2,
      unreadMs: 0,
      window: Number(window),
      heldTokens: Number(heldTokens),
    };
    const { load: near } = this.pair[0]!.handles[0]!;
    Object.defineProperty(near, 'ownLoad', { value: own });
    Object.assign(near, { ownRequests: 2 });
  },
);

Then(
  /^the other entries of its region hear of (\d+) requests, a window of (\d+) and (\d+) held tokens$/,
  function heard(this: RegionWorld, requests: string, window: string, heldTokens: string) {
    const sent: DatagramContent[] = [];
    createBroadcast(this, this.pair[0]!, sent).send();
    const [first, second] = this.pair;
    const handle = second!.handles[0]!;
    const received: unknown[] = [];
    Object.assign(handle.load, { updatePeer: (...args: unknown[]) => received.push(args) });
    assert.equal(sent.length, 1);
    createBroadcast(this, second!).receive(sent[0]!.value as EntryLoad, first!.settings.instance);
    const expected = { requests, window, heldTokens, unreadMs: 0 };
    const numbers = Object.fromEntries(
      Object.entries(expected).map(([name, value]) => [name, Number(value)]),
    );
    assert.deepEqual(received, [[first!.settings.instance, numbers, this.clock.now()]]);
  },
);

/** What happens after an entry has heard of an engine without weights, in order. */
const events: Readonly<Record<string, readonly ('report' | 'oldReport' | 'repeat' | 'recover')[]>> =
  {
    'nothing else happens': [],
    'the agent reports what it knew before': ['oldReport'],
    'the agent reports and the other repeats it': ['report', 'repeat'],
    'the agent reports and the other sees it anew': ['report', 'recover', 'repeat'],
  };

Given(
  'an entry that hears from another one that an engine holds no weights',
  function empty(this: RegionWorld) {
    createPair(this);
    const [first] = this.pair;
    const sent: DatagramContent[] = [];
    Object.assign(first!.handles[0]!, { reportedVersion: 0, missingWeightsSince: 1 });
    createBroadcast(this, first!, sent).send();
    this.sentLoads = sent.map(({ value }) => value as EntryLoad);
  },
);

When(
  /^(nothing else happens|the agent reports .+)$/,
  async function happens(this: RegionWorld, name: string) {
    const entry = this.pair[1]!;
    const [handle] = entry.handles;
    const broadcast = createBroadcast(this, entry);
    const [load] = this.sentLoads;
    broadcast.receive(load!, 'entry-0');
    assert.equal(handle!.reportedVersion, 0);
    const sharers = { local: 2, remote: 0, isLocal: true };
    const report = { running: 0, waiting: 0, slowdown: 1 };
    const applyReport = (answeredAt: number): void => {
      handle!.applyLoadReport(report, sharers, new SeededRandom(1), this.clock.now());
      broadcast.applyVersion(handle!, 2, answeredAt);
    };
    const heardAt = this.clock.now();
    const handlers = {
      report: () => applyReport(this.clock.now()),
      oldReport: () => applyReport(heardAt - 1),
      repeat: () => broadcast.receive(load!, 'entry-0'),
      recover: () => broadcast.receive({ ...load!, shares: [] }, 'entry-0'),
    };
    for (const event of events[name]!) {
      await this.clock.runUntil(this.clock.now() + 100);
      handlers[event]();
    }
  },
);

Then(/^the engine holds version (\d+) for it$/, function holds(this: RegionWorld, version: string) {
  assert.equal(this.pair[1]!.handles[0]!.reportedVersion, Number(version));
});
