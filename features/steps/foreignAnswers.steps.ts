import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { eventually } from '../support/assertions.js';
import { sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';
import { RepeatingEngine, createOwnBody } from '../support/repeatingEngine.js';
import type { RepeatedKind } from '../support/repeatingEngine.js';

interface ForeignWorld {
  foreignFleet: PlatformFleet;
  repeating: RepeatingEngine;
  /** Responses by the ids of their requests. */
  received: Map<string, CallerResponse>;
}

/** Time between two requests, in which a connection is returned to its pool, in milliseconds. */
const pauseMs = 5;
const firstId = 1_000;

After(async function close(this: Partial<ForeignWorld>) {
  await this.foreignFleet?.close();
});

Given(
  /^an entry with an engine that writes earlier (answers|refusals), framed by (.+), again$/,
  async function start(this: ForeignWorld, repeated: RepeatedKind, framing: string) {
    this.foreignFleet = await PlatformFleet.start([]);
    const { engine, record } = await RepeatingEngine.start(repeated, framing);
    this.repeating = record;
    this.foreignFleet.addEngine(engine);
    await this.foreignFleet.startEntry();
    await eventually(
      () =>
        this.foreignFleet.logEntries.some(
          ({ message }) => message === 'fleet: Endpoint registered.',
        ),
      'the engine is known',
    );
  },
);

When(
  /^(\d+) requests are sent to (\w+) one after the other$/,
  async function send(this: ForeignWorld, count: string, route: string) {
    this.received = new Map();
    for (let id = firstId; id < firstId + Number(count); id += 1) {
      const headers = { 'laburnumstream-request-id': String(id) };
      this.received.set(
        String(id),
        await sendRequest(this.foreignFleet, `/${route}/x`, { headers }),
      );
      await sleep(pauseMs);
    }
  },
);

Then(
  /^at least ([\d.]+) of those that the engine ran have their own answers$/,
  function served(this: ForeignWorld, share: string) {
    const { ran, repeatCount } = this.repeating;
    const own = ran.filter((id) => {
      const response = this.received.get(id);
      return response?.status === 200 && response.isWhole && response.body === createOwnBody(id);
    });
    assert.ok(repeatCount > 0, 'the engine wrote no response again');
    assert.ok(
      own.length >= ran.length * Number(share),
      `${own.length} of ${ran.length} were served; ${repeatCount} responses were written again`,
    );
  },
);

Then('no caller has an answer that is not its own', function none(this: ForeignWorld) {
  this.received.forEach(({ status, body, headers }, id) => {
    if (status === 200) assert.equal(body, createOwnBody(id));
    const responseId = headers['laburnumstream-request-id'];
    assert.ok(
      responseId === undefined || responseId === id,
      `${id} got a response to ${responseId}`,
    );
  });
});

Then(
  'no request ran twice, and none whose caller was told that it was not run',
  function once(this: ForeignWorld) {
    const { ran } = this.repeating;
    assert.equal(new Set(ran).size, ran.length, 'a request ran twice');
    const denied = ran.filter((id) => this.received.get(id)?.status === 503);
    assert.deepEqual(denied, []);
  },
);
