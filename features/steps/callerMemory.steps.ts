import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';
import { ByteBlocks } from '@laburnumstream/common';
import { MemoryBudget, ResponseMemory, selectShed } from '@laburnumstream/decisions';
import { CallerMemory } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';
import { RelayedStream } from '../support/relayedStream.js';

interface MemoryWorld {
  /** Whether the engine is read, after each amount and after the caller has taken all. */
  states: boolean[];
  heldBytes: number;
}

const eventBytes = 50_000;
const bytesPerKilobyte = 1_000;
const budgetBytes = 10_000;

When(
  'a stream brings {int} KB, and {int} KB in all, to a caller that takes nothing',
  async function bring(this: MemoryWorld, first: number, all: number) {
    const stream = new RelayedStream();
    const { delivery, relay, response } = stream;
    const event = Buffer.from(`data: ${'x'.repeat(eventBytes)}\n\n`);
    this.states = [];
    for (const kilobytes of [first, all]) {
      while (delivery.unreadBytes < kilobytes * bytesPerKilobyte) {
        relay.onData(event);
        await nextTurn();
      }
      this.states.push(stream.isRead);
    }
    response.takeAll();
    this.states.push(stream.isRead);
    this.heldBytes = stream.memory.usedBytes;
    relay.abort();
  },
);

Then(
  /^its engine is read after \d+ KB, waits after \d+ KB, and is read when the caller has taken them$/,
  function read(this: MemoryWorld) {
    assert.deepEqual(this.states, [true, false, true]);
    assert.equal(this.heldBytes, 0);
  },
);

Then(/^of (\S.*) is shed (\S+)$/, (holders: string, first: string) => {
  const parsed = holders.split(' ').map((name) => {
    const [bytes, stalledFor, workspace] = name.split('/');
    return { name, bytes: Number(bytes), stalledFor: Number(stalledFor), workspace };
  });
  const shed = selectShed(parsed, 1);
  assert.deepEqual(
    shed.map(({ name }) => name),
    [first],
  );
});

Then(
  'a body of {int} bytes in chunks of {int} to {int} bytes is kept in at most {int} bytes',
  (size: number, smallest: number, largest: number, most: number) => {
    const content = Buffer.from(Array.from({ length: size }, (_value, index) => index % 251));
    for (let step = smallest; step <= largest; step = step * 3 + 1) {
      const body = new ByteBlocks();
      for (let at = 0; at < size; at += step) body.push(content.subarray(at, at + step));
      assert.ok(body.heldBytes <= most, `${body.heldBytes} bytes for chunks of ${step}`);
      assert.equal(body.length, size);
      assert.deepEqual(body.take(), content);
    }
  },
);

Then(
  'responses find no more room than bodies of callers leave, and bodies are shed for them',
  () => {
    const budget = new MemoryBudget(budgetBytes);
    const memory = new ResponseMemory(budgetBytes * 2, budget);
    budget.add(budgetBytes - 1);
    assert.ok(!memory.reserve(0, 2));
    budget.onShortage(() => budget.remove(budget.excessBytes));
    assert.ok(memory.reserve(0, 2));
    assert.ok(!budget.isShort && !budget.isExceeded);
    memory.release(2);
    assert.equal(memory.usedBytes, 0);
  },
);

/** Lets callers hold memory beside responses; returns how many were not shed. */
function countKept(callers: number, bytes: number, budgetSize: number, responses: number): number {
  const budget = new MemoryBudget(budgetSize);
  const memory = new CallerMemory(budget, new VirtualClock());
  const gate = { pause: () => undefined, resume: () => undefined } as never;
  budget.add(responses);
  let kept = callers;
  Array.from({ length: callers }, () => {
    const holder = {
      ...{ bytes: 0, workspace: undefined, progressAt: 0, gate },
      shed: () => {
        kept -= 1;
        memory.remove(holder);
      },
    };
    return holder;
  }).forEach((holder) => memory.change(holder, bytes));
  return kept;
}

Then(
  /^of (\d+) callers with (\d+) bytes each as many keep a budget of (\d+) bytes as responses leave them:$/,
  (callers: string, bytes: string, size: string, table: DataTable) => {
    table.hashes().forEach(({ responses, callers: least }) => {
      const kept = countKept(Number(callers), Number(bytes), Number(size), Number(responses));
      assert.ok(kept >= Number(least), `${kept} of ${callers} beside ${responses} bytes`);
    });
  },
);
