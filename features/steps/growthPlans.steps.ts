import assert from 'node:assert/strict';
import { Then, When, World } from '@cucumber/cucumber';
import {
  NotifierSelection,
  changeBatchWindowMs,
  reportIntervalMs,
} from '@laburnumstream/decisions';
import { countStoreCalls } from '../support/changingStore.js';
import { platformBounds } from '../support/platformBounds.js';

interface GrowthPlansWorld extends World {
  callsOfOne: number;
}

const entryCounts = [10, 100, 700] as const;
const maxSenders = 4;

function createNames(entries: number): string[] {
  return Array.from({ length: entries }, (_, index) => `front-${index}`);
}

/** Returns the entries that send fleet updates to an agent, when all entries know each other. */
function findSenders(agent: string, entries: readonly string[]): string[] {
  return entries.filter((name) => {
    const selection = new NotifierSelection(name);
    selection.setEntries(entries);
    return selection.isSelected(agent, maxSenders);
  });
}

Then('each of 5 agents hears each second from 4 of 10, 100 and 700 entries', () => {
  entryCounts.forEach((entries) => {
    const names = createNames(entries);
    const perAgent = Array.from({ length: 5 }, (_, agent) => findSenders(`10.0.0.${agent}`, names));
    perAgent.forEach((senders) => assert.equal(senders.length, maxSenders));
  });
});

Then('an entry that leaves changes nothing for agents that it did not tell', () => {
  const names = createNames(20);
  const remaining = names.slice(1);
  const agents = Array.from({ length: 40 }, (_, agent) => `10.0.0.${agent}`);
  agents.forEach((agent) => {
    const before = findSenders(agent, names);
    if (before.includes('front-0')) return;
    assert.deepEqual(findSenders(agent, remaining), before);
  });
});

const secondMs = 1_000;

Then('an agent reports at most 600 times a second to 370 entries in two regions', () => {
  const entries = 185;
  const localReports = (entries * secondMs) / reportIntervalMs({ entries, isLocal: true });
  const remoteReports = (entries * secondMs) / reportIntervalMs({ entries, isLocal: false });
  assert.ok(localReports + remoteReports <= 600, `${localReports + remoteReports}`);
});

Then('as often as before to 34 entries in three', () => {
  assert.equal(reportIntervalMs({ entries: 12, isLocal: true }), 150);
  assert.equal(reportIntervalMs({ entries: 22, isLocal: false }), 450);
});

Then(
  '{int} entries batch changes for {int} ms where one must take effect within {int} ms',
  (entries: number, windowMs: number, deadlineMs: number) => {
    assert.equal(Math.round(changeBatchWindowMs(entries, deadlineMs)), windowMs);
  },
);

When(
  'an entry among {int} with deadlines of {int} seconds follows a store with a change each 20 ms for 10 seconds',
  async function follow(this: GrowthPlansWorld, entries: number, seconds: number) {
    const deadlineMs = seconds * secondMs;
    const bounds = {
      ...platformBounds,
      drainMs: deadlineMs,
      configurationMs: deadlineMs,
      evacuationMs: deadlineMs,
      revocationMs: deadlineMs,
    };
    this.callsOfOne = await countStoreCalls(entries, bounds);
  },
);

Then('it calls it at most {int} times', function few(this: GrowthPlansWorld, most: number) {
  assert.ok(this.callsOfOne > 5 && this.callsOfOne <= most, `${this.callsOfOne} calls`);
});
