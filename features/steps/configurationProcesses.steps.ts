import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Fleet, operatorToken, countReverts } from '@laburnumstream/bench';
import type { FleetEntry } from '@laburnumstream/bench';
import { sha256 } from '@laburnumstream/runtime';
import { eventually } from '../support/assertions.js';
import { runCommand } from '../support/commandLine.js';
import type { CommandResult } from '../support/commandLine.js';

const waitTimeoutMs = 30_000;
const shape = {
  dataCentres: [{ name: 'north-a', region: 'north', entries: 4 }],
  services: [],
  originRegion: 'north',
};
const tokens = { ann: 'token-of-ann-1', next: 'token-of-ann-2', vic: 'token-of-vic' };

interface ProcessesWorld {
  entriesFleet: Fleet;
  frozen: FleetEntry;
  expectedRevision: number;
  responses: { status: number; body: Record<string, unknown> }[];
  commandResults: Record<string, CommandResult>;
}

Given('four entries without agents', async function start(this: ProcessesWorld) {
  const options = { platformTimeoutMs: 10_000, changeTimeoutMs: 30_000 };
  this.entriesFleet = await Fleet.start(shape, { logLevel: 'info', optionOverrides: options });
});

After(async function close(this: Partial<ProcessesWorld>) {
  await this.entriesFleet?.close();
});

async function fetchRevision(fleet: Fleet, entry: FleetEntry): Promise<number> {
  const { body } = await fleet.admin('GET', 'status', undefined, entry);
  return Number(body.revision);
}

async function isWatching({ operatorUrl }: FleetEntry): Promise<boolean> {
  const response = await fetch(`${operatorUrl}/metrics`);
  return /^configuration_watching 1$/m.test(await response.text());
}

async function findWatchers({ entries }: Fleet): Promise<FleetEntry[]> {
  const areWatching = await Promise.all(entries.map((entry) => isWatching(entry)));
  return entries.filter((_, index) => areWatching[index]);
}

function sendChange(fleet: Fleet, maxQueue: number, entry = fleet.entries[0]!) {
  return fleet.admin('POST', 'configuration', { reason: 'test', defaults: { maxQueue } }, entry);
}

async function waitUntilInForce(
  fleet: Fleet,
  entries: readonly FleetEntry[],
  revision: number,
): Promise<void> {
  for (const entry of entries) {
    const isInForce = async () => (await fetchRevision(fleet, entry).catch(() => 0)) >= revision;
    await eventually(isInForce, `${entry.name} has revision ${revision}`, waitTimeoutMs);
  }
}

function countLoggedReverts({ process }: FleetEntry): number {
  const lines = process.log.split('\n').filter((line) => line.includes('Configuration in force.'));
  const history = lines.map((line) => {
    const { revision } = JSON.parse(line) as { revision: number };
    return { revision, atMs: 0 };
  });
  return countReverts(history);
}

When(
  'one watcher freezes, the other is killed and a change is made',
  async function injectFaults(this: ProcessesWorld) {
    const { entriesFleet: fleet } = this;
    const hasTwoWatchers = async () => (await findWatchers(fleet)).length === 2;
    await eventually(hasTwoWatchers, 'two entries watch', waitTimeoutMs);
    const [frozen, killed] = await findWatchers(fleet);
    this.frozen = frozen!;
    frozen!.process.signal('SIGSTOP');
    await killed!.process.kill();
    const other = fleet.entries.find((entry) => entry !== frozen && entry !== killed)!;
    const { body } = await sendChange(fleet, 33, other);
    this.expectedRevision = Number(body.revision);
  },
);

Then(
  'the running entries take it, the frozen one after it wakes, and none goes back',
  async function check(this: ProcessesWorld) {
    const { entriesFleet: fleet, frozen, expectedRevision } = this;
    const running = fleet.entries.filter((entry) => entry !== frozen && entry.process.isRunning);
    assert.equal(running.length, 2);
    await waitUntilInForce(fleet, running, expectedRevision);
    frozen.process.signal('SIGCONT');
    await waitUntilInForce(fleet, [frozen], expectedRevision);
    fleet.entries.forEach((entry) => assert.equal(countLoggedReverts(entry), 0));
  },
);

When('the store goes down and an entry is replaced', async function replace(this: ProcessesWorld) {
  const { entriesFleet: fleet } = this;
  this.expectedRevision = await fetchRevision(fleet, fleet.entries[0]!);
  fleet.keyValue.faults.down = true;
  const [, replaced] = fleet.entries;
  await replaced!.process.kill();
  replaced!.process.start();
  const hasStarted = async () => (await fetchRevision(fleet, replaced!).catch(() => -1)) >= 0;
  await eventually(hasStarted, 'the new entry responds', waitTimeoutMs);
});

Then(
  'the new entry has the configuration and a change is refused as not accepted',
  async function check(this: ProcessesWorld) {
    const { entriesFleet: fleet } = this;
    const [, replaced] = fleet.entries;
    await waitUntilInForce(fleet, [replaced!], this.expectedRevision);
    const { status, body } = await sendChange(fleet, 34, replaced);
    assert.equal(status, 503);
    assert.equal((body.error as { type: string }).type, 'not_accepted');
  },
);

Then('a change is accepted once the store is back', async function check(this: ProcessesWorld) {
  const { entriesFleet: fleet } = this;
  fleet.keyValue.faults.down = false;
  const isAccepted = async () => (await sendChange(fleet, 35)).status === 200;
  await eventually(isAccepted, 'a change is accepted', waitTimeoutMs);
  await waitUntilInForce(fleet, fleet.entries, this.expectedRevision + 1);
});

When('an operator uses the commands', async function runCommands(this: ProcessesWorld) {
  const { operatorUrl } = this.entriesFleet.entries[0]!;
  const folder = mkdtempSync(join(tmpdir(), 'laburnumstream-commands-'));
  const write = (name: string, value: object): string => {
    const file = join(folder, name);
    writeFileSync(file, JSON.stringify(value));
    return file;
  };
  const patch = write('patch.json', { defaults: { maxQueue: 21 } });
  const other = write('other.json', { defaults: { maxQueue: 22 } });
  const exception = write('exception.json', {
    id: 'lambing',
    scope: { workspace: 'workspace-1' },
    policy: { weight: 3 },
  });
  const run = (...args: string[]) => runCommand(operatorUrl, operatorToken, args);
  const reasonArguments = ['--reason', 'lambing season'];
  this.commandResults = {
    dryRun: await run('apply', patch, ...reasonArguments, '--dry-run'),
    apply: await run('apply', patch, ...reasonArguments, '--change-id', 'change-21'),
    again: await run('apply', patch, ...reasonArguments, '--change-id', 'change-21', '--json'),
    conflict: await run('apply', other, ...reasonArguments, '--if-revision', '1'),
    add: await run('exceptions', 'add', exception, ...reasonArguments),
    list: await run('exceptions', 'list'),
    audit: await run('audit', '--limit', '2'),
    auditJson: await run('audit', '--since', '1', '--json'),
    outcome: await run('change', 'change-21'),
    usage: await run('apply'),
  };
  rmSync(folder, { recursive: true });
});

Then(
  'dry run, conflicts, exceptions and the audit trail are shown readably and in JSON',
  function check(this: ProcessesWorld) {
    const results = this.commandResults;
    const { dryRun, apply, again, conflict, add, list, audit, auditJson } = results;
    assert.match(dryRun!.out, /nothing is changed[^]*defaults\/maxQueue: 64 -> 21/);
    assert.match(apply!.out, /^accepted as revision (\d+) \(change change-21\)$/m);
    const first = Number(/revision (\d+)/.exec(apply!.out)?.[1]);
    assert.equal((JSON.parse(again!.out) as { revision: number }).revision, first);
    assert.equal(conflict!.code, 1);
    assert.match(conflict!.error, /^conflict: /);
    assert.match(add!.out, /^accepted as revision/);
    assert.match(list!.out, /^ID +SCOPE[^]*lambing +workspace=workspace-1 +weight=3/);
    assert.match(audit!.out, /bootstrap\/test {2}apply: lambing season \(accepted\)/);
    assert.equal(auditJson!.out.trim().split('\n').length, 1);
    assert.match(results.outcome!.out, new RegExp(`^accepted as revision ${first} `));
    assert.equal(results.usage!.code, 2);
  },
);

async function callAdmin(
  world: ProcessesWorld,
  token: string,
  method: string,
  path: string,
  body?: object,
) {
  const { operatorUrl } = world.entriesFleet.entries[0]!;
  const response = await fetch(`${operatorUrl}/admin/v1/${path}`, {
    method,
    headers: { authorization: `Bearer ${token}` },
    ...(body ? { body: JSON.stringify(body) } : {}),
  });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

When('the configuration names operators and viewers', async function name(this: ProcessesWorld) {
  const operators = {
    ann: { role: 'operator', tokenHashes: [sha256(tokens.ann), sha256(tokens.next)] },
    vic: { role: 'viewer', tokenHashes: [sha256(tokens.vic)] },
  };
  const { status } = await this.entriesFleet.admin('POST', 'configuration', {
    reason: 'teams',
    operators,
  });
  assert.equal(status, 200);
});

Then(
  'each role may do only its part and a replaced token ends',
  async function check(this: ProcessesWorld) {
    const patch = { reason: 'test', defaults: { maxQueue: 40 } };
    const post = async (token: string, body: object) =>
      (await callAdmin(this, token, 'POST', 'configuration', body)).status;
    const get = async (token: string) =>
      (await callAdmin(this, token, 'GET', 'configuration')).status;
    assert.equal(await post(operatorToken, patch), 401);
    assert.equal(await post(tokens.vic, patch), 403);
    assert.equal(await get(tokens.vic), 200);
    assert.equal(await post(tokens.ann, patch), 200);
    const replaced = { operators: { ann: { tokenHashes: [sha256(tokens.next)] } } };
    assert.equal(await post(tokens.next, { reason: 'replace the token', ...replaced }), 200);
    assert.equal(await get(tokens.ann), 401);
    assert.equal(await get(tokens.next), 200);
    const lockout = { reason: 'mistake', operators: { ann: null } };
    assert.equal(await post(tokens.next, lockout), 400);
    const shown = await callAdmin(this, tokens.vic, 'GET', 'configuration');
    const audit = await callAdmin(this, tokens.vic, 'GET', 'audit');
    const text = JSON.stringify([shown, audit]);
    Object.values(tokens).forEach((token) => assert.ok(!text.includes(sha256(token))));
  },
);

When(
  'an operator sends {int} changes at once',
  async function flood(this: ProcessesWorld, count: number) {
    const invalidChange = { reason: 'flood', unknownPart: {} };
    const sends = Array.from({ length: count }, () =>
      callAdmin(this, operatorToken, 'POST', 'configuration', invalidChange),
    );
    this.responses = await Promise.all(sends);
  },
);

Then(
  'some are refused as overloaded with the time to wait and reading still works',
  async function check(this: ProcessesWorld) {
    const refused = this.responses.filter(({ status }) => status === 429);
    assert.ok(refused.length > 0);
    refused.forEach(({ body }) => {
      const { type, retryAfterMs } = body.error as { type: string; retryAfterMs: number };
      assert.equal(type, 'overloaded');
      assert.ok(retryAfterMs > 0);
    });
    const { status } = await callAdmin(this, operatorToken, 'GET', 'status');
    assert.equal(status, 200);
  },
);
