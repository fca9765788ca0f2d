import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { After, Then, When } from '@cucumber/cucumber';
import { EndlessEndpoint } from '../support/endlessEndpoint.js';
import { RelayedStream } from '../support/relayedStream.js';

interface RelayedWorld {
  relayed: RelayedStream;
  /** Writes to the response after the first events, and after those that followed. */
  writes: number[];
}

interface ReaderWorld {
  endlessBody: EndlessEndpoint;
  /** What the process has printed, or how it has ended. */
  readerOutcome: string;
}

/** Timeout of a process that reads one response, in milliseconds. */
const readerTimeoutMs = 30_000;
const readerProgram = fileURLToPath(new URL('../support/readerProgram.js', import.meta.url));
const execute = promisify(execFile);
const smallEvent = Buffer.from('data:a\n\n');

After(function close(this: Partial<ReaderWorld>) {
  this.endlessBody?.close();
});

/** Runs the reader program; returns what it has printed, or how it has ended. */
async function runReader(megabytes: string, reader: string, address: string): Promise<string> {
  const args = [`--max-old-space-size=${megabytes}`, readerProgram, reader, address];
  return execute(process.execPath, args, { timeout: readerTimeoutMs }).then(
    ({ stdout }) => stdout,
    ({ signal, code }: { signal: string | null; code: number | null }) =>
      `ended by itself: ${signal ?? code}`,
  );
}

When(
  /^a process with (\d+) MB of heap reads (.+) without end as (.+)$/,
  { timeout: readerTimeoutMs * 2 },
  async function read(this: ReaderWorld, megabytes: string, body: string, reader: string) {
    this.endlessBody = await EndlessEndpoint.start(body);
    this.readerOutcome = await runReader(megabytes, reader, this.endlessBody.address);
  },
);

When(
  /^a process with (\d+) MB of heap reads a request of (\d+) bytes that arrive one by one$/,
  { timeout: readerTimeoutMs * 2 },
  async function readRequest(this: ReaderWorld, megabytes: string, bytes: string) {
    this.readerOutcome = await runReader(megabytes, 'a server of operators', bytes);
  },
);

Then(/^the process has all (\d+) bytes$/, function hasAll(this: ReaderWorld, bytes: string) {
  assert.equal(this.readerOutcome, `${bytes} bytes`);
});

Then('the process has given up', function givenUp(this: ReaderWorld) {
  assert.match(this.readerOutcome, /too large|timeout|aborted/i);
});

Then(/^the process goes on, and (.+)$/, function goesOn(this: ReaderWorld, outcome: string) {
  assert.equal(this.readerOutcome, outcome);
});

When(
  'a stream brings {int} small events in one turn, and {int} more in turns of their own, to a caller that takes nothing',
  async function bring(this: RelayedWorld, together: number, apart: number) {
    this.relayed = new RelayedStream();
    const { relay, response } = this.relayed;
    this.writes = [];
    for (let count = 0; count < together; count += 1) relay.onData(smallEvent);
    await nextTurn();
    this.writes.push(response.writes);
    for (let count = 0; count < apart; count += 1) {
      relay.onData(smallEvent);
      await nextTurn();
    }
    this.writes.push(response.writes);
  },
);

Then(
  'there is one write to the caller, and {int} when it has taken all',
  function written(this: RelayedWorld, last: number) {
    const { relay, response } = this.relayed;
    response.takeAll();
    assert.deepEqual([...this.writes, response.writes], [1, 1, last]);
    relay.abort();
  },
);
