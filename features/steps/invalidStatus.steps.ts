import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { toFailure } from '@laburnumstream/common';
import { PartialResponse } from '@laburnumstream/entry';
import { EngineClient } from '@laburnumstream/platform';
import { Behaviours } from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import {
  answerWithStatus,
  formatResponse,
  invalidStatuses,
  sendInterimResponses,
} from '../support/invalidStatuses.js';
import { sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';
import { responseReaders } from '../support/responseReaders.js';
import { ScriptedEndpoint } from '../support/scriptedEndpoint.js';

interface StatusWorld {
  platform: PlatformFleet;
  response: CallerResponse;
  responses: CallerResponse[];
  /** Statuses of responses that were taken for answers. */
  taken: string[];
  refused: string[];
}

const headers = { 'laburnumstream-request-id': 'r1', 'laburnumstream-server-seal': 's' };
/** Events of a stream that is not broken off. */
const eventCount = 12;

async function start(world: StatusWorld, behaviours: readonly Behaviour[]): Promise<void> {
  Object.assign(world, { platform: await PlatformFleet.start(behaviours) });
  await world.platform.startEntry();
  const isRegistered = ({ message }: { message: string }): boolean =>
    message === 'fleet: Endpoint registered.';
  await eventually(
    () => world.platform.logEntries.filter(isRegistered).length === behaviours.length,
    'all engines are registered',
  );
}

/** Calls `use` with the address of an endpoint for each invalid status, one after the other. */
async function forEachStatus(
  use: (address: string, status: string) => Promise<void>,
): Promise<void> {
  for (const status of invalidStatuses) {
    const endpoint = await ScriptedEndpoint.start((socket) =>
      socket.write(formatResponse(status, headers)),
    );
    await use(endpoint.address, status).finally(() => endpoint.close());
  }
}

After(async function close(this: Partial<StatusWorld>) {
  await this.platform?.close();
});

Given(
  /^an entry on the platform with an engine that answers with status (\d+)(, and a sound one)?$/,
  async function odd(this: StatusWorld, status: string, isBesideSound: string | undefined) {
    const sound: Behaviour = (request, response, engine) =>
      (request.url?.startsWith('/stream/') ? Behaviours.streams : Behaviours.answers)(
        request,
        response,
        engine,
      );
    await start(this, [answerWithStatus(status), ...(isBesideSound ? [sound] : [])]);
  },
);

Given(
  /^an entry on the platform with an engine that breaks streams off and then answers with status (\d+)$/,
  async function begun(this: StatusWorld, status: string) {
    const behave: Behaviour = (request, response, engine) => {
      const isResumed = request.headers['last-event-id'] !== undefined;
      return (isResumed ? answerWithStatus(status) : Behaviours.stops)(request, response, engine);
    };
    await start(this, [behave, behave]);
  },
);

Given(
  'an entry on the platform with an engine that sends interim responses, one in 5 ms',
  async function interim(this: StatusWorld) {
    await start(this, [sendInterimResponses]);
  },
);

When(
  /^(\d+) callers send requests to (\w+)$/,
  async function sendAll(this: StatusWorld, count: string, route: string) {
    this.responses = [];
    for (let caller = 0; caller < Number(count); caller += 1)
      this.responses.push(await sendRequest(this.platform, `/${route}/x`));
  },
);

Then("it gets 502 without the engine's signature", function badGateway(this: StatusWorld) {
  const { status, headers: received } = this.response;
  assert.equal(status, 502, JSON.stringify(this.platform.logEntries));
  assert.equal(received['laburnumstream-server-seal'], undefined);
  const [failed] = this.platform.logEntries.filter(({ message }) =>
    message.endsWith('Attempt failed.'),
  );
  assert.equal(failed?.fields.fault, 'broken');
});

Then('each gets the whole answer of the sound engine', function whole(this: StatusWorld) {
  this.responses.forEach(({ status, isWhole, headers: received }) => {
    assert.equal(status, 200);
    assert.ok(isWhole);
    assert.equal(received['laburnumstream-server-seal'], 'seal.e1');
  });
});

Then('its stream is cut, and has nothing but events', function cut(this: StatusWorld) {
  const { status, isWhole, body } = this.response;
  assert.equal(status, 200);
  assert.ok(!isWhole);
  const all = Array.from(
    { length: eventCount },
    (_, id) => `id: ${id + 1}\ndata: token ${id + 1}\n\n`,
  );
  assert.ok(all.join('').startsWith(body), body);
});

Then('it gets a failure', function failure(this: StatusWorld) {
  assert.ok([502, 503, 504].includes(this.response.status), String(this.response.status));
});

When(
  /^(.+) reads responses with statuses that are no final ones$/,
  async function read(this: StatusWorld, reader: string) {
    Object.assign(this, { taken: [], refused: [] });
    await forEachStatus((address, status) =>
      responseReaders[reader]!(address).then(
        () => void this.taken.push(status),
        () => void this.refused.push(status),
      ),
    );
  },
);

Then('it has none of them for an answer', function none(this: StatusWorld) {
  assert.deepEqual(this.taken, []);
  assert.deepEqual(this.refused, [...invalidStatuses]);
});

When(
  'an engine answers an order with each of these statuses',
  async function order(this: StatusWorld) {
    this.refused = [];
    await forEachStatus((address) =>
      new EngineClient(address).orderLoad('m', 1, 0).catch((error: unknown) => {
        this.refused.push(toFailure(error).type);
      }),
    );
  },
);

Then('none of them counts as a refusal of the order', function open(this: StatusWorld) {
  assert.deepEqual(
    this.refused,
    invalidStatuses.map(() => 'unavailable'),
  );
});

When(
  'agents pass on answers of plain services with odd statuses',
  function pass(this: StatusWorld) {
    Object.assign(this, { taken: [], refused: [] });
    [0, 99, 100, 103, 200, 404, 599, 600, 999, -1, 200.5].forEach((status) => {
      try {
        new PartialResponse().setCallResponse({ status, body: '' });
        this.taken.push(String(status));
      } catch (error) {
        this.refused.push(toFailure(error).type);
      }
    });
  },
);

Then('an entry takes only those with a final status', function final(this: StatusWorld) {
  assert.deepEqual(this.taken, ['200', '404', '599']);
  assert.deepEqual(
    this.refused,
    Array.from({ length: 8 }, () => 'invalid_status'),
  );
});
