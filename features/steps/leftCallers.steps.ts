import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate as nextImmediate, setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Behaviours } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { sendRequest } from '../support/platformCaller.js';
import { PlatformFleet, platformHost } from '../support/platformFleet.js';

interface LeftWorld {
  leftFleet: PlatformFleet;
}

/** Time in which a request that is forwarded reaches the engine, in milliseconds. */
const forwardedMs = 300;

function formatRequest(path: string, id: string): string {
  const lines = [
    `GET ${path} HTTP/1.1`,
    `Host: ${platformHost}`,
    'Authorization: Bearer key-1',
    `Laburnumstream-Request-Id: ${id}`,
    'Laburnumstream-Deadline-Ms: 2000',
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

async function open(address: string): Promise<Socket> {
  const [host, port] = address.split(':');
  const socket = connect({ host: host!, port: Number(port) });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

After(async function close(this: Partial<LeftWorld>) {
  await this.leftFleet?.close();
});

Given('an entry with an engine that answers at once', async function start(this: LeftWorld) {
  this.leftFleet = await PlatformFleet.start([Behaviours.answers]);
  await this.leftFleet.startEntry();
  const isServed = async (): Promise<boolean> =>
    (await sendRequest(this.leftFleet, '/safe/x')).status === 200;
  await eventually(isServed, 'a request is served');
});

When(
  /^(\d+) (safe|unsafe|stream) requests arrive together with the ends of their connections$/,
  async function leave(this: LeftWorld, count: string, kind: string) {
    const { callerAddress } = this.leftFleet.settings;
    const sockets = await Promise.all(
      Array.from({ length: Number(count) }, () => open(callerAddress)),
    );
    await sleep(forwardedMs);
    // Handles are closed at the end of this turn, so that the entry finds both when it reads next.
    await nextImmediate();
    sockets.forEach((socket, index) => {
      socket.write(formatRequest(`/${kind}/left`, `left-${index}`));
      socket.destroy();
    });
    await sleep(forwardedMs);
  },
);

Then('none of them reaches the engine', function none(this: LeftWorld) {
  const ids = this.leftFleet.engines[0]!.startedRequestIds;
  const left = ids.filter((id) => id.startsWith('left-'));
  assert.deepEqual(left, []);
});
