import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller, Fleet, smallFleet } from '@laburnumstream/bench';
import { eventually } from '../support/assertions.js';

interface OrderResponse {
  readonly order: string;
  readonly status: number;
  readonly body: Record<string, unknown>;
}

interface OrderError {
  readonly type: string;
  readonly execution: string;
}

interface OrdersWorld {
  ordersFleet: Fleet;
  orderCallers: Caller[];
  orderResponses: OrderResponse[];
  orderTexts: string[];
  orderReads: number;
}

const orderBody = '{"tags":40}';

Given('a fleet with order desks', async function start(this: OrdersWorld) {
  this.ordersFleet = await Fleet.start(smallFleet, { logLevel: 'warn' });
  this.orderCallers = this.ordersFleet.entries.map(({ callerUrl }) => new Caller(callerUrl));
  this.orderResponses = [];
});

After(async function close(this: Partial<OrdersWorld>) {
  await Promise.all((this.orderCallers ?? []).map((caller) => caller.close()));
  await this.ordersFleet?.close();
});

function getPlainServices({ ordersFleet }: OrdersWorld) {
  return ordersFleet.agents.flatMap(({ plain }) => plain ?? []);
}

function countRuns(world: OrdersWorld, body = orderBody): number {
  return getPlainServices(world).flatMap(({ runs }) => runs.filter((run) => run.body === body))
    .length;
}

async function order(
  { orderCallers, orderResponses }: OrdersWorld,
  entry: number,
  body = orderBody,
  key = 'order-1',
): Promise<OrderResponse> {
  const headers = { 'idempotency-key': key };
  const callResponse = await orderCallers[entry]!.call('desk', '/orders', body, { headers });
  const response = { ...callResponse, order: body };
  orderResponses.push(response);
  return response;
}

function parseError({ body }: OrderResponse): OrderError {
  return body.error as OrderError;
}

When(
  'an order is sent again with its key through each entry',
  async function send(this: OrdersWorld) {
    await order(this, 0);
    await order(this, 0);
    const isReplayed = async () => (await order(this, 1)).status === 200;
    // The outcome is recorded concurrently with the first response, so other agents may see it later.
    await eventually(isReplayed, 'the outcome is recorded');
    this.orderResponses = this.orderResponses.filter(({ status }) => status === 200);
  },
);

Then('the order ran once and each answer is the same', function check(this: OrdersWorld) {
  assert.equal(countRuns(this), 1);
  assert.equal(this.orderResponses.length, 3);
  this.orderResponses.forEach((response) => assert.deepEqual(response, this.orderResponses[0]));
});

When('the key of an order comes with another body', async function send(this: OrdersWorld) {
  await order(this, 0);
  await order(this, 0, '{"tags":41}');
});

Then(
  'the second order is refused with {int} as {string} and {string}',
  function check(this: OrdersWorld, status: number, type: string, execution: string) {
    assert.equal(this.orderResponses[1]!.status, status);
    assert.equal(parseError(this.orderResponses[1]!).type, type);
    assert.equal(parseError(this.orderResponses[1]!).execution, execution);
    assert.equal(countRuns(this, '{"tags":41}'), 0);
  },
);

When(
  'the answer of an order is lost and the order is sent again through each entry',
  async function send(this: OrdersWorld) {
    getPlainServices(this).forEach((plainService) => Object.assign(plainService, { dropNext: 1 }));
    for (const entry of [0, 0, 1]) await order(this, entry);
  },
);

When(
  'the agent is killed during an order and the order is sent again through each entry',
  async function send(this: OrdersWorld) {
    getPlainServices(this).forEach((plainService) =>
      Object.assign(plainService, { workMs: 1_000 }),
    );
    const first = order(this, 0);
    await eventually(() => countRuns(this) > 0, 'the order runs');
    const agent = this.ordersFleet.agents.find(({ plain }) => plain && plain.runs.length > 0);
    await agent!.process.kill();
    await first;
    for (const entry of [0, 1]) await order(this, entry);
  },
);

Then(
  'the order ran once and each answer says that it may have run',
  function check(this: OrdersWorld) {
    assert.equal(countRuns(this), 1);
    assert.equal(this.orderResponses.length, 3);
    this.orderResponses.forEach((response) => {
      assert.ok([409, 502].includes(response.status), JSON.stringify(response));
      assert.equal(parseError(response).execution, 'unknown');
    });
  },
);

When(
  'a non-idempotent completion is sent again with its key through each entry',
  async function send(this: OrdersWorld) {
    const headers = { 'idempotency-key': 'narrative-1', 'non-idempotent': 'true' };
    const complete = (caller: Caller) =>
      caller.complete('assistant', 'Draft a narrative.', { maxTokens: 12, headers });
    const first = await complete(this.orderCallers[0]!);
    const second = await complete(this.orderCallers[0]!);
    let third = await complete(this.orderCallers[1]!);
    await eventually(async () => {
      if (!third.ended) third = await complete(this.orderCallers[1]!);
      return third.ended;
    }, 'the outcome is recorded');
    this.orderTexts = [first, second, third].map(({ tokens }) => tokens.join(''));
  },
);

Then('the engines ran it once and each answer is the same', function check(this: OrdersWorld) {
  const runs = this.ordersFleet.agents.flatMap(({ engine }) => engine?.runs ?? []);
  assert.equal(runs.length, 1);
  assert.equal(new Set(this.orderTexts).size, 1);
  assert.ok(this.orderTexts[0]!.length > 0);
});

When('requests of each kind come while the store is down', async function send(this: OrdersWorld) {
  this.ordersFleet.keyValue.faults.down = true;
  const [caller] = this.orderCallers;
  const completion = await caller!.complete('assistant', 'Which tags are free?');
  assert.equal(completion.ended, true);
  const status = await caller!.call('desk', '/status', '', { method: 'GET' });
  this.orderResponses.push({ ...status, order: '' });
  const unkeyed = await caller!.call('desk', '/orders', '{"without":"key"}');
  this.orderResponses.push({ ...unkeyed, order: '' });
  await order(this, 0);
});

Then(
  'all but the order with a key are served and that did not run',
  function check(this: OrdersWorld) {
    assert.deepEqual(
      this.orderResponses.map(({ status }) => status),
      [200, 200, 503],
    );
    // Without the store, an agent can't know whether an earlier request with the key was executed.
    assert.equal(parseError(this.orderResponses[2]!).type, 'store_unavailable');
    assert.equal(parseError(this.orderResponses[2]!).execution, 'unknown');
    assert.equal(countRuns(this, '{"without":"key"}'), 1);
    assert.equal(countRuns(this), 0);
  },
);

When(
  '{int} orders come twice while the store loses half of its answers',
  async function send(this: OrdersWorld, count: number) {
    this.ordersFleet.keyValue.faults.loseAnswers = 0.5;
    const sendTwice = async (number: number): Promise<void> => {
      await order(this, number % 2, `{"order":${number}}`, `order-${number}`);
      await order(this, (number + 1) % 2, `{"order":${number}}`, `order-${number}`);
    };
    await Promise.all(Array.from({ length: count }, (_, number) => sendTwice(number)));
    this.ordersFleet.keyValue.faults.loseAnswers = 0;
  },
);

Then('no order ran twice and none that was called not run ran', function check(this: OrdersWorld) {
  const executedBodies = getPlainServices(this).flatMap(({ runs }) => runs.map(({ body }) => body));
  assert.equal(new Set(executedBodies).size, executedBodies.length);
  const orders = [...new Set(this.orderResponses.map(({ order: body }) => body))];
  orders.forEach((body) => {
    const last = this.orderResponses.filter((response) => response.order === body).at(-1)!;
    const isRefused = last.status !== 200 && parseError(last).execution === 'not run';
    assert.ok(
      !isRefused || !executedBodies.includes(body),
      `${body} was executed although it was reported as not run`,
    );
  });
});
