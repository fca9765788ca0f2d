import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';
import { MemoryBudget, ResponseMemory, selectShed } from '@laburnumstream/decisions';
import { BodyBuffer, CallerMemory, EventDelivery, EventRelay } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';

interface MemoryWorld {
  /** Whether the engine is read, after each amount and after the caller has taken all. */
  states: boolean[];
  heldBytes: number;
}

const eventBytes = 50_000;
const bytesPerKilobyte = 1_000;
const budgetBytes = 10_000;

/** A response whose caller takes nothing. */
class UnreadResponse extends EventEmitter {
  writableLength = 0;

  writeHead(): void {
    this.writableLength += 1;
  }

  write(bytes: Buffer): boolean {
    this.writableLength += bytes.length;
    return false;
  }
}

When(
  'a stream brings {int} KB, and {int} KB in all, to a caller that takes nothing',
  function stream(this: MemoryWorld, first: number, all: number) {
    const response = new UnreadResponse();
    const memory = new ResponseMemory(100_000_000);
    const clock = new VirtualClock();
    const exchange = { response, head: {}, arrivedAt: 0 } as never;
    const codec = { encodeResponseHeaders: () => [] } as never;
    const delivery = new EventDelivery(exchange, codec, clock);
    const relay = new EventRelay(exchange, delivery, clock, () => false, memory);
    let isRead = true;
    const call = {
      pause: () => {
        isRead = false;
      },
      resume: () => {
        isRead = true;
      },
      abort: () => undefined,
    };
    const handle = {
      addStream: () => undefined,
      removeStream: () => undefined,
      recordEvent: () => undefined,
    };
    const markNothing = (): void => undefined;
    relay.attach({ handle, call, markPrefilled: markNothing, markEnded: markNothing } as never);
    relay.onHead(200, { isSigned: true, wasNotRun: false, isEncoded: false } as never, []);
    const event = Buffer.from(`data: ${'x'.repeat(eventBytes)}\n\n`);
    this.states = [first, all].map((kilobytes) => {
      while (response.writableLength < kilobytes * bytesPerKilobyte) relay.onData(event);
      return isRead;
    });
    response.writableLength = 0;
    response.emit('drain');
    this.states.push(isRead);
    this.heldBytes = memory.usedBytes;
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
      const body = new BodyBuffer();
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
