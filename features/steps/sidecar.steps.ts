import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { SeededRandom } from '@laburnumstream/common';
import { FleetDatagrams } from '@laburnumstream/links';
import type { EndpointReport } from '@laburnumstream/protocol';
import { HistogramMetrics, SystemClock, readChart } from '@laburnumstream/runtime';
import { Sidecar } from '@laburnumstream/sidecar';
import { eventually } from '../support/assertions.js';
import { createSidecarSettings } from '../support/sidecarSettings.js';
import { FaultyPieceOrigin } from '../support/faultyPieceOrigin.js';
import { StagingEngine, getPieceContent, testVersion } from '../support/stagingEngine.js';

const model = 'm1';
const memberHost = '127.0.0.3';
const announceIntervalMs = 200;
const msPerSecond = 1_000;
/** Shorter than the time after which an HTTP client closes idle connections, in milliseconds. */
const closeTimeoutMs = 1_500;
const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

interface SidecarWorld {
  sidecarAbort: AbortController;
  sidecarEngine: StagingEngine;
  sidecarOrigin: FaultyPieceOrigin;
  sidecarPort: number;
  sidecarEntry: FleetDatagrams;
  /** Reports that the entry has received. */
  sidecarReports: EndpointReport[];
  sidecarTimer: NodeJS.Timeout;
  sidecarMetrics: HistogramMetrics;
  sidecarMember: Server;
  /** Connections that are open at the other member. */
  memberConnections: Set<object>;
}

Given(
  'an agent beside an empty engine and an origin with version 1',
  async function start(this: SidecarWorld) {
    const settings = await createSidecarSettings();
    this.sidecarAbort = new AbortController();
    this.sidecarEngine = new StagingEngine();
    this.sidecarOrigin = new FaultyPieceOrigin();
    this.sidecarPort = settings.firstPort;
    const clock = new SystemClock();
    const metrics = new HistogramMetrics();
    this.sidecarMetrics = metrics;
    const sidecar = new Sidecar({
      settings,
      engine: this.sidecarEngine,
      origin: this.sidecarOrigin,
      chart: readChart('switch'),
      clock,
      random: new SeededRandom(5),
      metrics,
      log: () => silentLog,
    });
    await sidecar.start(this.sidecarAbort.signal);
    this.sidecarReports = [];
    const handlers = { report: (report: EndpointReport) => this.sidecarReports.push(report) };
    this.sidecarEntry = new FleetDatagrams('front-1', handlers, clock, metrics, silentLog);
    await this.sidecarEntry.bind('127.0.0.2', settings.firstPort, this.sidecarAbort.signal);
  },
);

Given(
  'each fifth piece from the origin is wrong and each seventh is spoilt at the engine',
  function corrupt(this: SidecarWorld) {
    this.sidecarOrigin.corruptEvery = 5;
    this.sidecarEngine.corruptEvery = 7;
  },
);

After(function close(this: Partial<SidecarWorld>) {
  clearInterval(this.sidecarTimer);
  this.sidecarAbort?.abort();
  this.sidecarMember?.close();
  this.sidecarMember?.closeAllConnections();
});

/** Sends the wanted version and the members at regular intervals; each call replaces the last. */
function announce(world: SidecarWorld, others: readonly string[], version = 1): void {
  const ownMember = { host: '127.0.0.1', dataCentre: 'a', version: 0 };
  const members = others.map((host) => ({ host, dataCentre: 'a', version: 1 }));
  const value = {
    reportEveryMs: 300,
    weights: {
      model,
      version,
      namedMsAgo: 20_000,
      origin: '127.0.0.1:9',
      originDataCentre: 'a',
      originKbitPerS: 1_000_000,
      layers: testVersion.layers,
      chunks: testVersion.pieces,
      chunkBytes: 400,
      loadMs: 10,
      members: [...members, ownMember],
    },
  };
  const send = (): void => world.sidecarEntry.send({ case: 'fleet', value }, '127.0.0.1');
  clearInterval(world.sidecarTimer);
  send();
  Object.assign(world, { sidecarTimer: setInterval(send, announceIntervalMs) });
}

When('an entry tells it that version 1 is wanted', async function tell(this: SidecarWorld) {
  announce(this, []);
  await eventually(() => this.sidecarEngine.orders.length > 0, 'a load is ordered');
});

Given(
  /^the engine accepts orders (\d+) ms after their senders have given them up$/,
  function late(this: SidecarWorld, ms: string) {
    const { sidecarEngine } = this;
    sidecarEngine.lateOrderMs = Number(ms);
  },
);

When(
  /^an entry tells it that version 1 is wanted, and version 2 as soon as it has ordered version 1$/,
  { timeout: 10_000 },
  async function supersede(this: SidecarWorld) {
    const { sidecarEngine } = this;
    const order = sidecarEngine.orderLoad.bind(sidecarEngine);
    const isOrdered = new Promise<void>((resolve) => {
      sidecarEngine.orderLoad = (...request): Promise<void> => {
        resolve();
        return order(...request);
      };
    });
    announce(this, []);
    await isOrdered;
    announce(this, [], 2);
  },
);

Then(
  'the engine comes to hold version 2, and took each version with every piece right',
  { timeout: 20_000 },
  async function right(this: SidecarWorld) {
    const { orders } = this.sidecarEngine;
    await eventually(
      () => orders.some(({ version }) => version === 2),
      'version 2 is loaded',
      15 * msPerSecond,
    );
    assert.ok(
      orders.every(({ isRight }) => isRight),
      JSON.stringify(orders),
    );
  },
);

When('the engine restarts and two staged pieces have rotted', function damage(this: SidecarWorld) {
  this.sidecarEngine.staged.set(3, Buffer.from('rotten'));
  this.sidecarEngine.staged.delete(8);
  this.sidecarEngine.restart();
});

Then(
  /^the engine is ordered to load version 1 (again )?with every piece right$/,
  async function check(this: SidecarWorld, again: string | null) {
    const { orders } = this.sidecarEngine;
    const expectedOrders = again ? 2 : 1;
    await eventually(() => orders.length >= expectedOrders, `${expectedOrders} loads are ordered`);
    assert.ok(
      orders.every(({ version, isRight }) => version === 1 && isRight),
      JSON.stringify(orders),
    );
  },
);

Given(
  /^another member that serves version 1 and (sends no pieces|never responds)$/,
  async function member(this: SidecarWorld, behaviour: string) {
    this.memberConnections = new Set();
    this.sidecarMember = createServer((_request, response) => {
      if (behaviour === 'sends no pieces') response.writeHead(404).end();
    });
    this.sidecarMember.on('connection', (socket) => {
      this.memberConnections.add(socket);
      socket.once('close', () => this.memberConnections.delete(socket));
    });
    await new Promise<void>((resolve) => {
      this.sidecarMember.listen(this.sidecarPort + 1, memberHost, () => resolve());
    });
  },
);

When('the agent has asked that member', async function ask(this: SidecarWorld) {
  announce(this, [memberHost]);
  await eventually(() => this.memberConnections.size > 0, 'the member is asked');
});

When('the member leaves the fleet', function leave(this: SidecarWorld) {
  announce(this, []);
});

Then('the agent closes its connections to it', async function close(this: SidecarWorld) {
  const isClosed = (): boolean => this.memberConnections.size === 0;
  await eventually(isClosed, 'the connections are closed', closeTimeoutMs);
});

Then(
  'the agent asks the origin within {int} seconds',
  async function origin(this: SidecarWorld, seconds: number) {
    const isAsked = (): boolean => this.sidecarOrigin.manifestReads > 0;
    await eventually(isAsked, 'the origin is asked', seconds * msPerSecond);
  },
);

Given(
  'the engine has staged all pieces of version 1, of which {int}, {int} and {int} are spoilt',
  function staged(this: SidecarWorld, one: number, two: number, three: number) {
    const spoilt = [one, two, three];
    for (let piece = 0; piece < testVersion.pieces; piece += 1) {
      const bytes = spoilt.includes(piece) ? Buffer.from('spoilt') : getPieceContent(1, piece);
      this.sidecarEngine.staged.set(piece, bytes);
    }
  },
);

Then('the origin is asked for {int} pieces', function asked(this: SidecarWorld, count: number) {
  assert.equal(this.sidecarOrigin.reads, count);
});
