import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Behaviours, respondWith } from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { PlatformFleet } from '../support/platformFleet.js';

interface KeptWorld {
  keptFleet: PlatformFleet;
  /** Connections on which the engine received requests, in order. */
  sockets: Socket[];
  second: CallerResponse;
}

Given(
  /^an entry on the platform with an engine that keeps a connection and then (\w+)$/,
  async function start(this: KeptWorld, ending: string) {
    const sockets: Socket[] = [];
    this.sockets = sockets;
    const first = respondWith('first answer');
    const last: Behaviour = Behaviours[ending as keyof typeof Behaviours];
    this.keptFleet = await PlatformFleet.start([
      (request, response, engine) => {
        sockets.push(request.socket);
        return (sockets.length === 1 ? first : last)(request, response, engine);
      },
    ]);
    await this.keptFleet.startEntry();
    await eventually(
      () =>
        this.keptFleet.logEntries.some(({ message }) => message === 'fleet: Endpoint registered.'),
      'the engine is registered',
    );
  },
);

After(async function close(this: Partial<KeptWorld>) {
  await this.keptFleet?.close();
});

When(/^a caller sends two requests to (\w+)$/, async function two(this: KeptWorld, route: string) {
  await sendRequest(this.keptFleet, `/${route}/x`);
  this.second = await sendRequest(this.keptFleet, `/${route}/x`);
});

Then(
  /^the second has (\d+), (whole|cut), on the connection of the first$/,
  function outcome(this: KeptWorld, status: string, end: string) {
    const { second, sockets } = this;
    assert.equal(sockets.length, 2);
    assert.equal(sockets[0], sockets[1]);
    assert.equal(second.status, Number(status));
    assert.equal(second.isWhole, end === 'whole');
  },
);
