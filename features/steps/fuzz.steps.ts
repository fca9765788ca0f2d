import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { request } from 'undici';
import { Caller, Fleet, operatorToken, residentMB, smallFleet } from '@laburnumstream/bench';
import type { FleetEntry } from '@laburnumstream/bench';
import { InvalidInput } from '@laburnumstream/common';
import { validateManifest, parseConfiguration } from '@laburnumstream/decisions';
import { anyJson, damagedJson, sampleInputs, objectsWith } from '../support/fuzzInputs.js';

const manifestKeys = ['kind', 'model', 'version', 'size', 'chunkBytes', 'chunks', 'content'];
const bodyKeys = ['prompt', 'max_tokens', 'adapter', 'stream', 'reason', 'id', 'scope', 'policy'];
const maxGrowthMB = 150;
const headersTimeoutMs = 20_000;

interface FuzzResponse {
  readonly status: number;
  readonly text: string;
}

interface FuzzWorld {
  outcomes: unknown[];
  fuzzFleet: Fleet;
  responses: FuzzResponse[];
  memoryBefore: number;
}

/** Returns the error that a call throws, or undefined. */
function catchFailure(call: () => unknown): unknown {
  try {
    call();
    return undefined;
  } catch (error) {
    return error;
  }
}

function getEntry(world: FuzzWorld): FleetEntry {
  return world.fuzzFleet.entries[0]!;
}

When('{int} fuzzed manifests are checked', function check(this: FuzzWorld, count: number) {
  const valid = fc.constant('a'.repeat(64));
  const hash = fc.oneof({ weight: 20, arbitrary: valid }, fc.constantFrom('A'.repeat(64), '', 'z'));
  const nearlyValid = fc.record({
    kind: fc.constant('model'),
    model: fc.constant('m'),
    version: fc.constant('v'),
    size: fc.oneof(fc.integer({ min: -2, max: 50 }), anyJson),
    chunkBytes: fc.integer({ min: -1, max: 20 }),
    chunks: fc.oneof(fc.array(hash, { maxLength: 8 }), anyJson),
    content: hash,
  });
  const values = sampleInputs(fc.oneof(objectsWith(manifestKeys), nearlyValid, anyJson), count);
  this.outcomes = values.map((value) =>
    catchFailure(() => {
      const { size, chunkBytes, chunks } = validateManifest(value);
      assert.equal(chunks.length, Math.ceil(size / chunkBytes));
    }),
  );
});

Then('each is accepted whole or refused as invalid input', function check(this: FuzzWorld) {
  this.outcomes.forEach((failure) => {
    assert.ok(failure === undefined || failure instanceof InvalidInput, String(failure));
  });
  assert.ok(this.outcomes.includes(undefined), 'No manifest was accepted.');
});

When('{int} fuzzed stored configurations are parsed', function parse(this: FuzzWorld, n: number) {
  const keys = ['revision', 'changeId', 'defaults', 'exceptions', 'dataCentres', 'audit'];
  const texts = sampleInputs(damagedJson(fc.oneof(objectsWith(keys), anyJson)), n);
  this.outcomes = texts.map((text) => catchFailure(() => parseConfiguration(text)));
});

Then('each is parsed or refused as invalid input', function check(this: FuzzWorld) {
  this.outcomes.forEach((failure) => {
    assert.ok(failure === undefined || failure instanceof InvalidInput, String(failure));
  });
});

Given('a fleet to fuzz', async function start(this: FuzzWorld) {
  this.fuzzFleet = await Fleet.start(smallFleet, { logLevel: 'error' });
  this.memoryBefore = residentMB(getEntry(this).process.pid);
});

After(async function close(this: Partial<FuzzWorld>) {
  await this.fuzzFleet?.close();
});

async function send(url: string, path: string, body: string, token: string): Promise<FuzzResponse> {
  const response = await request(new URL(path, url), {
    method: 'POST',
    headers: { authorization: `Bearer ${token}` },
    body,
    headersTimeout: headersTimeoutMs,
  });
  return { status: response.statusCode, text: await response.body.text() };
}

async function sendAll(url: string, token: string, paths: string[], bodies: string[]) {
  const responses: FuzzResponse[] = [];
  for (const [index, body] of bodies.entries()) {
    responses.push(await send(url, paths[index]!, body, token));
  }
  return responses;
}

When('an entry gets {int} fuzzed caller requests', async function fuzz(this: FuzzWorld, n: number) {
  const invalidBody = fc.record({ prompt: fc.constantFrom('', 0, null, []), max_tokens: anyJson });
  const bodies = sampleInputs(
    damagedJson(fc.oneof(invalidBody, objectsWith(['adapter', 'stream']))),
    n,
  );
  const services = fc.constantFrom('assistant', 'desk', 'none', '..', '%00');
  const kinds = fc.constantFrom('completions', 'calls/../x', 'completions/', '');
  const path = fc
    .tuple(services, kinds)
    .map(([service, kind]) => `/v1/services/${service}/${kind}`);
  const paths = sampleInputs(path, n).map((each) => each.replace('desk/calls', 'none/calls'));
  this.responses = await sendAll(getEntry(this).callerUrl, 'token-of-workspace-0', paths, bodies);
});

When(
  'an entry gets {int} fuzzed operator requests',
  async function fuzz(this: FuzzWorld, n: number) {
    const bodies = sampleInputs(damagedJson(objectsWith(bodyKeys)), n).map((text) =>
      text.replace('"reason"', '"reazon"'),
    );
    const part = fc.constantFrom('configuration', 'exceptions', 'roll-outs/none', 'x', 'status');
    const paths = sampleInputs(part, n).map((each) => `/admin/v1/${each}`);
    this.responses = await sendAll(getEntry(this).operatorUrl, operatorToken, paths, bodies);
  },
);

async function assertServes(fleet: Fleet): Promise<void> {
  const caller = new Caller(fleet.entries[0]!.callerUrl);
  const result = await caller.complete('assistant', 'Still there?');
  await caller.close();
  assert.equal(result.ended, true);
}

Then(
  'each is refused with a typed error body and the entry still serves',
  async function check(this: FuzzWorld) {
    this.responses.forEach(({ status, text }) => {
      assert.ok(status >= 400 && status < 500, `${status} ${text}`);
      const { error } = JSON.parse(text) as { error: { type: string; execution: string } };
      assert.match(error.type, /^[a-z_]+$/);
      assert.equal(error.execution, 'not run');
    });
    await assertServes(this.fuzzFleet);
    const growth = residentMB(getEntry(this).process.pid) - this.memoryBefore;
    assert.ok(growth < maxGrowthMB, `The entry grew by ${growth} MB.`);
  },
);

function sendBytes(address: string, bytes: Uint8Array): Promise<void> {
  const { hostname, port } = new URL(address);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname, () => socket.end(bytes));
    socket.on('error', () => resolve());
    socket.on('close', () => resolve());
    socket.resume();
  });
}

When(
  'entry and agent get {int} connections of random bytes',
  async function fuzz(this: FuzzWorld, count: number) {
    const preface = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');
    const bytes = sampleInputs(fc.tuple(fc.boolean(), fc.uint8Array({ maxLength: 200 })), count);
    const addresses = [getEntry(this).internalUrl, this.fuzzFleet.agents[0]!.internalUrl];
    for (const [withPreface, part] of bytes) {
      const content = withPreface ? Buffer.concat([preface, part]) : part;
      await Promise.all(addresses.map((address) => sendBytes(address, content)));
    }
  },
);

Then('both processes live and the entry still serves', async function check(this: FuzzWorld) {
  const { process: entryProcess } = getEntry(this);
  assert.ok(entryProcess.isRunning);
  assert.ok(this.fuzzFleet.agents[0]!.process.isRunning);
  await assertServes(this.fuzzFleet);
});
