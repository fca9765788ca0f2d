import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import { RelayedStream } from '../support/relayedStream.js';

interface RelayedWorld {
  relayed: RelayedStream;
  /** Writes to the response after the first events, and after those that followed. */
  writes: number[];
}

const smallEvent = Buffer.from('data:a\n\n');

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
