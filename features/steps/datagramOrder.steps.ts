import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { DatagramOrder } from '@laburnumstream/links';

interface DatagramWorld {
  datagramOrder: DatagramOrder;
}

When(
  'each of {int} senders sends one datagram, one each {int} ms',
  function many(this: DatagramWorld, senders: number, intervalMs: number) {
    this.datagramOrder = new DatagramOrder();
    for (let index = 0; index < senders; index += 1) {
      const datagram = { sender: `agent-${index}`, sequence: 1, startedAt: 1n };
      assert.ok(this.datagramOrder.accept(datagram, index * intervalMs));
    }
  },
);

Then('at most {int} of them are remembered', function few(this: DatagramWorld, most: number) {
  const { size } = this.datagramOrder;
  assert.ok(size > 0 && size <= most, `${size} are remembered`);
});

interface DatagramArrival {
  readonly sender: string;
  readonly sequence: number;
  readonly startedAt: bigint;
  readonly afterMs: number;
}

const arrivals: fc.Arbitrary<DatagramArrival[]> = fc.array(
  fc.record({
    sender: fc.constantFrom('a', 'b', 'c'),
    sequence: fc.integer({ min: 1, max: 5 }),
    startedAt: fc.bigInt({ min: 1n, max: 2n }),
    afterMs: fc.oneof(fc.integer({ min: 0, max: 100 }), fc.integer({ min: 0, max: 4_000 })),
  }),
  { maxLength: 40 },
);

/** Time without a datagram after which any datagram of a sender is accepted, in milliseconds. */
const senderTimeoutMs = 3_000;

/** Decides on each arrival by all arrivals before it. */
function acceptWithoutForgetting(history: readonly DatagramArrival[]): boolean[] {
  const accepted: (DatagramArrival & { readonly at: number })[] = [];
  let at = 0;
  return history.map((arrival) => {
    at += arrival.afterMs;
    const last = accepted.findLast(({ sender }) => sender === arrival.sender);
    const isNewer =
      !last ||
      at - last.at >= senderTimeoutMs ||
      arrival.startedAt > last.startedAt ||
      (arrival.startedAt === last.startedAt && arrival.sequence > last.sequence);
    if (isNewer) accepted.push({ ...arrival, at });
    return isNewer;
  });
}

Then('datagrams are accepted as if none were forgotten, for any history', () => {
  const property = fc.property(arrivals, (history) => {
    const order = new DatagramOrder();
    let at = 0;
    const accepted = history.map((arrival) => {
      at += arrival.afterMs;
      return order.accept(arrival, at);
    });
    assert.deepEqual(accepted, acceptWithoutForgetting(history));
  });
  fc.assert(property, { seed: 3, numRuns: 2_000 });
});
