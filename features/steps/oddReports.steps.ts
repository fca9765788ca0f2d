import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PlatformMain, PlatformProgram, makeEntrySettings } from '@laburnumstream/bench';
import { FleetDatagrams } from '@laburnumstream/links';
import type { DatagramContent } from '@laburnumstream/links';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { eventually } from '../support/assertions.js';
import { parseMetrics } from '../support/metricsText.js';
import { oddReports, soundReport } from '../support/oddValues.js';

interface OddReportsWorld {
  reportServer: Server;
  /** Body of the engine's reports. */
  reportBody: string | Buffer;
  reportAgent: PlatformProgram;
  reportPort: number;
  reportAbort: AbortController;
  /** Times at which an entry received reports of an engine that answers. */
  reportTimes: number[];
}

const agentHost = '127.0.0.1';
const entryHost = '127.0.0.2';
const strangerHost = '127.0.0.3';
/** Time for which the engine sends one report, in milliseconds: the agent asks twice. */
const reportMs = 500;
const clock = new SystemClock();
const ignore = (): void => undefined;
const silentLog = { debug: ignore, info: ignore, warn: ignore, error: ignore };

const soundWeights = {
  model: 'm',
  version: 1,
  namedMsAgo: 100,
  origin: '',
  layers: 16,
  chunks: 48,
  chunkBytes: 49_152,
  members: [{ host: agentHost, dataCentre: 'a', version: 0 }],
};

/** News of an entry with values that no entry means. */
const oddNews: readonly DatagramContent[] = [
  { case: 'fleet', value: { reportEveryMs: 0 } },
  { case: 'fleet', value: { weights: { ...soundWeights, version: 2, origin: '300.0.0.1:80' } } },
  { case: 'fleet', value: { weights: { ...soundWeights, version: 3, origin: '127.0.0.1:70000' } } },
  { case: 'fleet', value: { weights: { ...soundWeights, version: 4, model: 'line\r\nbreak' } } },
  {
    case: 'fleet',
    value: {
      weights: {
        ...soundWeights,
        version: 5,
        members: [{ host: 'no host', dataCentre: '', version: 5 }],
      },
    },
  },
  { case: 'pieces', value: { model: 'm', version: 5, held: new Uint8Array(60_000) } },
  { case: 'crashes', value: { convictions: [{ traits: [], crashes: 5 }] } },
];

/** Datagrams that cannot be read: no protocol, cut, fields of other types. */
const oddBytes: readonly Buffer[] = [
  Buffer.from('hello'),
  Buffer.alloc(0),
  Buffer.from([0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f]),
  Buffer.from([0x22, 0x05, 0x12]),
  Buffer.alloc(1_200, 0xff),
];

async function readMetric({ reportAgent }: OddReportsWorld, name: string): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${reportAgent.metricsPort}/metrics`);
  return parseMetrics(await response.text())
    .filter((sample) => sample.name === name)
    .reduce((sum, { value }) => sum + value, 0);
}

/** Subscribes an entry to the agent's reports. */
async function subscribe(world: OddReportsWorld): Promise<void> {
  const { reportAbort, reportPort } = world;
  const { signal } = reportAbort;
  const entry = new FleetDatagrams(
    'front-1',
    { report: ({ isAnswering }) => isAnswering && world.reportTimes.push(clock.now()) },
    clock,
    new HistogramMetrics(),
    silentLog,
  );
  await entry.bind(entryHost, reportPort, signal);
  const content = { case: 'fleet', value: { reportEveryMs: 100 } } as const;
  const timer = setInterval(() => entry.send(content, agentHost), 200);
  signal.addEventListener('abort', () => clearInterval(timer));
}

After(function close(this: Partial<OddReportsWorld>) {
  this.reportAbort?.abort();
  this.reportAgent?.close();
  this.reportServer?.close();
  this.reportServer?.closeAllConnections();
});

Given(
  'an agent program beside an engine whose reports turn odd one after the other',
  async function agent(this: OddReportsWorld) {
    this.reportBody = JSON.stringify(soundReport);
    this.reportTimes = [];
    this.reportAbort = new AbortController();
    this.reportServer = createServer((_request, response) => response.end(this.reportBody));
    await new Promise<void>((resolve) => {
      this.reportServer.listen(0, agentHost, () => resolve());
    });
    const { port } = this.reportServer.address() as AddressInfo;
    const lines = await makeEntrySettings('127.0.0.1:9');
    this.reportPort = Number(lines.PortRange!.split(',')[0]);
    this.reportAgent = new PlatformProgram({ main: PlatformMain.agent });
    this.reportAgent.write({
      ...lines,
      NodeName: 'side-1',
      app: `${agentHost}:${port}`,
      Service: 'model',
    });
    await this.reportAgent.start();
    await subscribe(this);
    await eventually(() => this.reportTimes.length > 0, 'the agent reports');
  },
);

When('it gets odd datagrams meanwhile', async function odd(this: OddReportsWorld) {
  const { signal } = this.reportAbort;
  const metrics = new HistogramMetrics();
  const stranger = new FleetDatagrams('stranger', {}, clock, metrics, silentLog);
  await stranger.bind(strangerHost, this.reportPort, signal);
  const unnamed = new FleetDatagrams('', {}, clock, metrics, silentLog);
  await unnamed.bind('127.0.0.4', this.reportPort, signal);
  const socket = createSocket({ type: 'udp4', signal });
  for (const body of oddReports) {
    this.reportBody = body;
    oddBytes.forEach((bytes) => socket.send(bytes, this.reportPort, agentHost));
    oddNews.forEach((content) => stranger.send(content, agentHost));
    unnamed.send(oddNews[0]!, agentHost);
    await sleep(reportMs);
  }
});

Then(
  'the agent runs and counts odd reports and odd datagrams',
  async function counts(this: OddReportsWorld) {
    const { reportAgent } = this;
    assert.ok(reportAgent.isRunning, reportAgent.errors.slice(0, 1_000));
    const failed = await readMetric(this, 'engine_questions_failed_total');
    assert.ok(failed >= oddReports.length, `${failed} questions of ${oddReports.length}`);
    const dropped = await readMetric(this, 'datagrams_unreadable_total');
    // Those without a sender and with a conviction that covers all requests count too.
    const expected = (oddBytes.length - 1) * oddReports.length;
    assert.ok(dropped >= expected, `${dropped} datagrams, at least ${expected}`);
  },
);

Then(
  'after a sound report it reports its engine again',
  async function again(this: OddReportsWorld) {
    const since = clock.now();
    this.reportBody = JSON.stringify(soundReport);
    await eventually(() => this.reportTimes.some((at) => at > since), 'the agent reports', 3_000);
  },
);
