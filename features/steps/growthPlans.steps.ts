import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { NotifierSelection, reportIntervalMs } from '@laburnumstream/decisions';

const sizes = [10, 100, 700] as const;
const mostTellers = 4;

function namesOf(entries: number): string[] {
  return Array.from({ length: entries }, (_, index) => `front-${index}`);
}

/** Names of the entries that tell an agent, of all that know each other. */
function tellersOf(agent: string, entries: readonly string[]): string[] {
  return entries.filter((name) => {
    const tellers = new NotifierSelection(name);
    tellers.setEntries(entries);
    return tellers.isSelected(agent, mostTellers);
  });
}

Then('each of 5 agents hears each second from 4 of 10, 100 and 700 entries', () => {
  sizes.forEach((entries) => {
    const names = namesOf(entries);
    const perAgent = Array.from({ length: 5 }, (_, agent) => tellersOf(`10.0.0.${agent}`, names));
    perAgent.forEach((tellers) => assert.equal(tellers.length, mostTellers));
  });
});

Then('an entry that leaves changes nothing for agents that it did not tell', () => {
  const names = namesOf(20);
  const left = names.slice(1);
  const agents = Array.from({ length: 40 }, (_, agent) => `10.0.0.${agent}`);
  agents.forEach((agent) => {
    const before = tellersOf(agent, names);
    if (before.includes('front-0')) return;
    assert.deepEqual(tellersOf(agent, left), before);
  });
});

const secondMs = 1_000;

Then('an agent reports at most 600 times a second to 370 entries in two regions', () => {
  const entries = 185;
  const near = (entries * secondMs) / reportIntervalMs({ entries, isLocal: true });
  const far = (entries * secondMs) / reportIntervalMs({ entries, isLocal: false });
  assert.ok(near + far <= 600, `${near + far}`);
});

Then('as often as before to 34 entries in three', () => {
  assert.equal(reportIntervalMs({ entries: 12, isLocal: true }), 150);
  assert.equal(reportIntervalMs({ entries: 22, isLocal: false }), 450);
});
