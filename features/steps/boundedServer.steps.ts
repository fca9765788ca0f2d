import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Then, When } from '@cucumber/cucumber';
import { createBoundedServer } from '@laburnumstream/runtime';
import { eventually } from '../support/assertions.js';

interface BoundedServerWorld {
  boundedServer: Server;
  sockets: readonly Socket[];
  parsedRequests: number;
  /** What a connection has received until its end. */
  received: string;
  responseBytes: number;
}

const bounds = { maxConnections: 32, maxPipelined: 4 };
/** Time for which responses are left unread, in milliseconds. */
const unreadMs = 300;

/** Starts a server that answers with the path of the request, filled up to a length, and returns its port. */
async function startServer(world: BoundedServerWorld, responseBytes: number): Promise<number> {
  const server = createBoundedServer(({ url = '' }, response) => {
    response.end(url.padEnd(responseBytes, '.'));
  }, bounds);
  Object.assign(world, { boundedServer: server, parsedRequests: 0, responseBytes });
  server.prependListener('request', () => {
    Object.assign(world, { parsedRequests: world.parsedRequests + 1 });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

function buildRequest(path: string, headBytes: number, connection: string): string {
  const start = `GET ${path} HTTP/1.1\r\nHost: x\r\nConnection: ${connection}\r\nx: `;
  return `${start.padEnd(headBytes - 4, 'x')}\r\n\r\n`;
}

After(function close(this: Partial<BoundedServerWorld>) {
  this.sockets?.forEach((socket) => socket.destroy());
  this.boundedServer?.close();
});

When(
  '{int} requests arrive at once on each of {int} connections to a server that allows 4 unanswered ones',
  async function sendAhead(this: BoundedServerWorld, requests: number, connections: number) {
    const port = await startServer(this, 0);
    const bytes = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(requests);
    this.sockets = Array.from({ length: connections }, () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      socket.write(bytes);
      return socket;
    });
  },
);

Then(
  'all connections are closed, and at most {int} requests have been parsed for each',
  async function closed(this: BoundedServerWorld, most: number) {
    const { sockets } = this;
    sockets.forEach((socket) => socket.resume());
    await eventually(() => sockets.every(({ destroyed }) => destroyed), 'all are closed');
    const perConnection = this.parsedRequests / sockets.length;
    assert.ok(perConnection <= most, `${perConnection} requests have been parsed for each`);
  },
);

When(
  /^(\d+) requests with heads of (\d+) bytes arrive at once, and responses of (\d+) bytes are read later$/,
  async function sendTogether(
    this: BoundedServerWorld,
    requests: string,
    headBytes: string,
    responseBytes: string,
  ) {
    const port = await startServer(this, Number(responseBytes));
    const socket = connect(port, '127.0.0.1').pause();
    this.sockets = [socket];
    const count = Number(requests);
    const texts = Array.from({ length: count }, (_, index) =>
      buildRequest(`/${index}`, Number(headBytes), index === count - 1 ? 'close' : 'keep-alive'),
    );
    socket.write(texts.join(''));
    await sleep(unreadMs);
    const chunks: Buffer[] = [];
    socket.on('data', (bytes: Buffer) => chunks.push(bytes));
    await once(socket.resume(), 'end');
    this.received = Buffer.concat(chunks).toString();
  },
);

Then(
  'there are {int} whole responses, each to its request',
  function whole(this: BoundedServerWorld, requests: number) {
    const bodies = this.received.split(/HTTP\/1\.1 200 OK[^]*?\r\n\r\n/).slice(1);
    const expected = Array.from({ length: requests }, (_, index) =>
      `/${index}`.padEnd(this.responseBytes, '.'),
    );
    assert.deepEqual(
      bodies.map(({ length }) => length),
      expected.map(({ length }) => length),
    );
    assert.deepEqual(bodies, expected);
  },
);
