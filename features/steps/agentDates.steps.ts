import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When, World } from '@cucumber/cucumber';
import { create } from '@bufbuild/protobuf';
import { combineOutdated } from '@laburnumstream/decisions';
import type { EndpointHandle } from '@laburnumstream/forwarding';
import { toDatagramNumber } from '@laburnumstream/links';
import type { FleetDatagrams } from '@laburnumstream/links';
import { WeightNewsSchema } from '@laburnumstream/protocol';
import type { EndpointReport } from '@laburnumstream/protocol';
import { FleetView } from '@laburnumstream/sidecar';
import { RelayMode, VirtualClock } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { LargeFleet, noopLog } from '../support/largeFleet.js';
import { createOtherEntry } from '../support/reviewedFleet.js';
import { testVersion } from '../support/stagingEngine.js';
import type { VersionFleet } from '../support/versionFleet.js';

interface AgentDatesWorld extends World {
  /** What an agent knows of the fleet. */
  agentView: FleetView;
  versionFleet: VersionFleet;
  reviewAbort: AbortController;
  sidecarEntry: FleetDatagrams;
  sidecarReports: EndpointReport[];
  reportedHandle: EndpointHandle;
  /** Since when the entry itself takes version 1 for outdated. */
  ownDate:
    { readonly at: number; readonly monotonicAt: number; readonly unseenMs: number } | undefined;
}

const agentAddress = '127.0.0.1';

/** Time in which an entry that has started is in touch with the others, in milliseconds. */
const startMs = 1_500;

Given('an agent beside an engine on version 1', function view(this: AgentDatesWorld) {
  this.agentView = new FleetView('127.0.0.8', 'a', new Map(), new VirtualClock(), noopLog);
});

When(
  /^entries tell it that version 2 was named (.+) ms ago, the guessed part after a plus$/,
  function tell(this: AgentDatesWorld, dates: string) {
    dates.split(', ').forEach((date) => {
      const [namedMsAgo = 0, unseenMs = 0] = date.split('+').map(Number);
      this.agentView.update(create(WeightNewsSchema, { version: 2, namedMsAgo, unseenMs }));
    });
  },
);

Then(
  /^the agent takes version 1 for outdated since (\d+) ms$/,
  function since(this: AgentDatesWorld, ms: string) {
    assert.equal(this.agentView.outdatedMs(1), Number(ms));
  },
);

Given('another entry', { timeout: 10_000 }, async function startOther(this: AgentDatesWorld) {
  const other = await createOtherEntry(this.versionFleet.platform);
  await other.start(this.reviewAbort.signal);
  await sleep(startMs);
});

Given('reports of what the agent knows', function report(this: AgentDatesWorld) {
  this.versionFleet.reportedOutdatedMs = (): number | undefined => {
    const outdatedMs = this.agentView.provenOutdatedMs(1);
    return outdatedMs === undefined ? undefined : toDatagramNumber(outdatedMs);
  };
});

When(
  /^the store turns the entry away for (\d+) ms, and version 2 is named (\d+) ms after it began to$/,
  async function turnAway(this: AgentDatesWorld, forMs: string, afterMs: string) {
    const { versionFleet } = this;
    versionFleet.storeRelay.setMode(RelayMode.turnedAway);
    await sleep(Number(afterMs));
    versionFleet.nameNext();
    await sleep(Number(forMs) - Number(afterMs));
    versionFleet.storeRelay.setMode(RelayMode.open);
  },
);

When(
  /^an entry tells it that version 2 was named (\d+) ms ago, (\d+) ms of it unseen$/,
  function tellNext(this: AgentDatesWorld, msAgo: string, unseen: string) {
    const { layers, pieces: chunks } = testVersion;
    const unseenMs = Number(unseen);
    const weights = {
      model: 'm1',
      version: 2,
      namedMsAgo: Number(msAgo),
      unseenMs,
      layers,
      chunks,
    };
    this.sidecarReports.length = 0;
    const value = { reportEveryMs: 100, weights };
    this.sidecarEntry.send({ case: 'fleet', value }, agentAddress);
  },
);

Then(
  /^its reports on version 1 tell that it is outdated for (?:(\d+) ms or longer|no time)$/,
  async function told(this: AgentDatesWorld, least: string | null) {
    const { sidecarReports } = this;
    await eventually(() => sidecarReports.length > 4, 'the agent has reported');
    const last = sidecarReports.at(-1)!;
    assert.equal(last.version, 1);
    if (least === null) assert.equal(last.outdatedMsAgo, undefined);
    else assert.ok((last.outdatedMsAgo ?? 0) >= Number(least), `${last.outdatedMsAgo} ms`);
  },
);

Given(
  /^an entry that takes version 1 for outdated since (\d+|never)( as a guess)?$/,
  function own(this: AgentDatesWorld, at: string, guess: string | null) {
    this.reportedHandle = new LargeFleet(1, 1).directory.get('e0')!;
    const unseenMs = guess ? 1_000 : 0;
    this.ownDate =
      at === 'never' ? undefined : { at: Number(at), monotonicAt: Number(at), unseenMs };
  },
);

When(
  /^reports on the engine tell that it is since (.+)$/,
  function tell(this: AgentDatesWorld, times: string) {
    times.split(', ').forEach((time) => {
      const at = time === 'never' ? Infinity : Number(time);
      this.reportedHandle.recordOutdated(1, at);
    });
  },
);

Then(
  /^version 1 is outdated for the entry since (\d+|never)$/,
  function since(this: AgentDatesWorld, time: string) {
    const at = time === 'never' ? Infinity : Number(time);
    assert.equal(combineOutdated(this.ownDate, this.reportedHandle.reportedOutdatedAt(1)), at);
    assert.equal(this.reportedHandle.reportedOutdatedAt(2), Infinity, 'another version');
  },
);
