import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Then, When } from '@cucumber/cucumber';
import { Failure, InvalidInput } from '@laburnumstream/common';
import { FeedClient, FeedHeader } from '@laburnumstream/forwarding';
import type { FleetChange } from '@laburnumstream/forwarding';
import { FleetDatagrams, create, fromRefusal } from '@laburnumstream/links';
import {
  EngineClient,
  OriginClient,
  StoreClient,
  platformHeaders,
  storeCodec,
} from '@laburnumstream/platform';
import { DatagramSchema, RefusalSchema } from '@laburnumstream/protocol';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { PeerClient } from '@laburnumstream/sidecar';
import { toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { Client } from 'undici';
import { eventually } from '../support/assertions.js';
import { sampleInputs } from '../support/fuzzInputs.js';
import { sampleDamagedBytes, sampleOddHeaders, sampleOddTexts } from '../support/oddInputs.js';
import { soundModelRegistration } from '../support/oddRegistrations.js';
import { soundReport } from '../support/oddValues.js';
import { createModelConfiguration } from '../support/platformFleet.js';

interface OddInputsWorld {
  /** What each input led to: a value or an error. */
  oddOutcomes: { readonly input: string; readonly value?: unknown; readonly error?: unknown }[];
  oddServer: Server;
  oddAbort: AbortController;
  oddSnapshot: readonly string[];
  oddChanges: readonly string[];
  soundHandled: () => Promise<void>;
  refusals: readonly Failure[];
}

const maxReasonLength = 400;
const largestNumber = 1e16;
const shownLength = 300;
const digest = 'a'.repeat(64);
const traits = ['part:1', 'request:2'];
const conviction = { traits, crashes: 3 };

/** Sound values of the store, by the names that step texts use. */
const soundValues: Readonly<Record<string, { readonly key: string; readonly value: unknown }>> = {
  registrations: { key: 'servers/e0', value: soundModelRegistration },
  configurations: { key: 'op/config', value: createModelConfiguration(1) },
  'named versions': { key: 'op/version/m', value: { Model: 'm', Version: 2 } },
  'places of entries': {
    key: 'laburnumstream/entries/front-1',
    value: { dataCentre: 'a', host: '127.0.0.1' },
  },
  'crash news': {
    key: 'laburnumstream/crashes/front-1',
    value: {
      crashes: [{ endpoint: 'e0@1', msAgo: 1, traits }],
      survivals: [{ trait: 'part:1', count: 2, msAgo: 3 }],
      convictions: [conviction],
      completions: 4,
    },
  },
  convictions: {
    key: 'laburnumstream/convictions/x',
    value: { conviction, isWithdrawn: false },
  },
};

const requestHeaders = [
  'laburnumstream-request-id',
  'laburnumstream-deadline-ms',
  'laburnumstream-token-usage',
  'laburnumstream-prompt-prefix',
  'laburnumstream-length-hint',
  'last-event-id',
  'authorization',
];
const responseHeaders = [
  'laburnumstream-request-id',
  'laburnumstream-engine-load',
  'laburnumstream-cold-ms',
  'laburnumstream-weight-versions',
  'laburnumstream-not-executed',
  'server-limit',
  'server-leaving',
  'retry-after',
  'keep-alive',
];

/** Decoders of headers, with the names of the headers that they read. */
const headerDecoders = {
  'request headers': { names: requestHeaders, decode: platformHeaders.decodeRequestHead },
  'response headers': { names: responseHeaders, decode: platformHeaders.decodeResponseHead },
} as const;

const soundItem = { Key: 'servers/e0', Value: 'e30=', Revision: 3, Created: 2, Lease: 0 };

interface Response {
  readonly sound: unknown;
  readonly read: (address: string) => Promise<unknown>;
}

const never = new AbortController().signal;

/** Readers of responses, with a sound one. */
const responses: Readonly<Record<string, Response>> = {
  'reports of engines': {
    sound: soundReport,
    read: (address) => new EngineClient(address).getState(),
  },
  'lists of staged pieces': {
    sound: { held: [0, 1, 2] },
    read: (address) => new EngineClient(address).listStagedPieces('m'),
  },
  'manifests of origins': {
    sound: { Model: 'm', Version: 2, Digests: [digest, digest] },
    read: (address) => new OriginClient().getManifest(address, 'm', 2),
  },
  'manifests of agents': {
    sound: { model: 'm', version: 2, digests: [digest, digest] },
    read: (address) => {
      const [host = '', port] = address.split(':');
      return new PeerClient(Number(port)).getManifest(host, 2, never);
    },
  },
  'snapshots of the store': {
    sound: { Items: [soundItem, { ...soundItem, Key: 'servers/e1' }], Truncated: false, AsOf: 4 },
    read: (address) => new StoreClient(address).snapshot(''),
  },
  'changes of the store': {
    sound: { events: [soundItem, { Key: 'servers/e1', Revision: 4, Removed: true }], AsOf: 4 },
    read: (address) => new StoreClient(address).changes('', { revision: 1 }, 100),
  },
  'feeds of entries': {
    sound: {
      revision: 4,
      changes: [
        { key: 'servers/e0', value: '{}', revision: 3 },
        { key: 'servers/e1', revision: 4 },
      ],
    },
    read: async (address) => {
      const client = new FeedClient();
      try {
        return await client.read(address, { revision: 1 }, 100);
      } finally {
        client.close();
      }
    },
  },
  'leases of the store': {
    sound: { Lease: 7, TtlMs: 1_000 },
    read: (address) => new StoreClient(address).grantLease(1_000),
  },
};

function assertNumbers(value: unknown, input: string): void {
  if (typeof value === 'number')
    assert.ok(Number.isFinite(value) && Math.abs(value) <= largestNumber, `${value} of ${input}`);
  if (typeof value !== 'object' || value === null || value instanceof Uint8Array) return;
  const parts = value instanceof Map ? [...value.values()] : Object.values(value);
  parts.forEach((part) => assertNumbers(part, input));
}

/** Checks that a connection can be opened to an endpoint and that a datagram can carry its weights. */
function assertEndpoint(value: unknown): void {
  const change = value as Partial<FleetChange> | undefined;
  if (change?.kind !== 'endpoint' || !change.endpoint) return;
  const { address, layers, slots } = change.endpoint;
  void new Client(`http://${address}`).destroy();
  assert.ok(Number.isInteger(slots) && slots >= 0);
  const member = { host: address, version: layers?.version ?? 0 };
  const weights = { members: [member] };
  const content = { case: 'fleet', value: { weights } } as const;
  toBinary(DatagramSchema, create(DatagramSchema, { content }));
}

function record(world: OddInputsWorld, input: string, decode: () => unknown): void {
  try {
    world.oddOutcomes.push({ input, value: decode() });
  } catch (error) {
    world.oddOutcomes.push({ input, error });
  }
}

async function listen(world: OddInputsWorld, respond: (path: string) => string): Promise<string> {
  const server = createServer((request, response) => {
    response.setHeader(FeedHeader.proofAge, '1');
    response.setHeader(FeedHeader.changeAge, '1');
    response.end(respond(request.url ?? ''));
  });
  Object.assign(world, { oddServer: server });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

After(function close(this: Partial<OddInputsWorld>) {
  this.oddAbort?.abort();
  this.oddServer?.close();
  this.oddServer?.closeAllConnections();
});

When(
  /^(\d+) odd (registrations|configurations|named versions|places of entries|crash news|convictions) are decoded with seed (\d+)$/,
  function decode(this: OddInputsWorld, count: string, kind: string, seed: string) {
    const { key, value } = soundValues[kind]!;
    this.oddOutcomes = [];
    sampleOddTexts(value, Number(count), Number(seed)).forEach((text) =>
      record(this, text, () => storeCodec.decode({ key, value: text, revision: 1 })),
    );
  },
);

When(
  /^(\d+) odd (request headers|response headers) are decoded with seed (\d+)$/,
  function decode(
    this: OddInputsWorld,
    count: string,
    kind: keyof typeof headerDecoders,
    seed: string,
  ) {
    const { names, decode: decodeHead } = headerDecoders[kind];
    this.oddOutcomes = [];
    sampleOddHeaders(names, Number(count), Number(seed)).forEach((headers) =>
      record(this, JSON.stringify(headers), () => decodeHead(headers)),
    );
  },
);

When(
  /^(\d+) odd (.+) are read with seed (\d+)$/,
  async function read(this: OddInputsWorld, count: string, kind: string, seed: string) {
    const { sound, read: readFrom } = responses[kind]!;
    let body = '';
    const address = await listen(this, () => body);
    this.oddOutcomes = [];
    for (const text of sampleOddTexts(sound, Number(count), Number(seed))) {
      body = text;
      await readFrom(address).then(
        (value) => this.oddOutcomes.push({ input: text, value }),
        (error: unknown) => this.oddOutcomes.push({ input: text, error }),
      );
    }
  },
);

Then('each is refused with a typed error or can be used', function check(this: OddInputsWorld) {
  this.oddOutcomes.forEach(({ input, value, error }) => {
    const shown = input.slice(0, shownLength);
    if (error !== undefined) {
      assert.ok(error instanceof Failure, `${String(error)} of ${shown}`);
      assert.ok(error.message.length <= maxReasonLength, error.message.slice(0, shownLength));
    }
    assertNumbers(value, shown);
    assertEndpoint(value);
  });
  const isRefused = this.oddOutcomes.some(({ error }) => error instanceof InvalidInput);
  const isUsed = this.oddOutcomes.some(({ error }) => error === undefined);
  assert.ok(isRefused || isUsed, 'Nothing was decoded.');
});

When('the store lists odd items beside two sound ones', async function list(this: OddInputsWorld) {
  const last = { ...soundItem, Key: 'servers/e9' };
  const odd = [null, 1, 'x', [], {}, { Key: 1, Revision: 1 }, { Key: 'servers/e1', Revision: 'x' }];
  const items = [soundItem, ...odd, { Key: 'servers/e2', Revision: 3, Value: 7 }, last];
  const body = JSON.stringify({ Items: items, events: items, Truncated: false, AsOf: 4 });
  const store = new StoreClient(await listen(this, () => body));
  this.oddSnapshot = (await store.snapshot('')).values.map(({ key }) => key);
  this.oddChanges = (await store.changes('', { revision: 1 }, 100)).changes.map(({ key }) => key);
});

Then('both sound ones are read from its list and its changes', function both(this: OddInputsWorld) {
  const keys = ['servers/e0', 'servers/e2', 'servers/e9'];
  assert.deepEqual(this.oddSnapshot, keys);
  assert.deepEqual(this.oddChanges, keys);
});

const soundDatagrams = [
  {
    sender: 'front-1',
    sequence: 1,
    startedAt: 1n,
    content: { case: 'load', value: { shares: [{}] } },
  },
  {
    sender: 'front-1',
    sequence: 2,
    startedAt: 1n,
    content: { case: 'crashes', value: { convictions: [conviction], completions: 1 } },
  },
  {
    sender: 'side-1',
    sequence: 3,
    startedAt: 1n,
    content: { case: 'report', value: { address: '127.0.0.1:9', bornAt: 1n, running: 1 } },
  },
] as const;

When(
  /^(\d+) damaged datagrams are sent to a process with seed (\d+)$/,
  async function send(this: OddInputsWorld, count: string, seed: string) {
    this.oddAbort = new AbortController();
    const { signal } = this.oddAbort;
    const ignore = (): void => undefined;
    const log = { debug: ignore, info: ignore, warn: ignore, error: ignore };
    const metrics = new HistogramMetrics();
    let handled = 0;
    const handlers = {
      load: () => {
        throw new RangeError('A handler fails.');
      },
      report: ({ running }: { running: number }) => {
        if (running === 77) handled += 1;
      },
    };
    const clock = new SystemClock();
    const receiver = new FleetDatagrams('front-2', handlers, clock, metrics, log);
    await receiver.bind('127.0.0.1', 0, signal);
    const { port } = receiver as unknown as { port: number };
    const socket = createSocket({ type: 'udp4', signal });
    const sendBytes = (bytes: Uint8Array): Promise<void> =>
      new Promise((resolve) => {
        socket.send(bytes, port, '127.0.0.1', () => resolve());
      });
    const sound = soundDatagrams.map((datagram) =>
      toBinary(DatagramSchema, create(DatagramSchema, datagram as never)),
    );
    for (const bytes of sampleDamagedBytes(sound, Number(count), Number(seed))) {
      await sendBytes(bytes);
    }
    const last = {
      sender: 'side-9',
      sequence: 1,
      startedAt: 1n,
      content: { case: 'report', value: { address: '127.0.0.1:9', running: 77 } },
    } as const;
    this.soundHandled = () =>
      eventually(async () => {
        await sendBytes(toBinary(DatagramSchema, create(DatagramSchema, last)));
        return handled > 0;
      }, 'the sound datagram is handled');
  },
);

Then('it handles a sound one after them', function handles(this: OddInputsWorld) {
  return this.soundHandled();
});

When(
  /^(\d+) odd refusals are decoded with seed (\d+)$/,
  function refuse(this: OddInputsWorld, count: string, seed: string) {
    const statuses = fc.oneof(
      fc.nat(),
      fc.constantFrom(0, 1, 99, 101, 200, 399, 600, 4_294_967_295),
    );
    this.refusals = sampleInputs(statuses, Number(count), Number(seed)).map((status) =>
      fromRefusal(create(RefusalSchema, { type: 'x', message: 'x', status, retryAfterMs: status })),
    );
  },
);

Then('each has a status of a failure', function statuses(this: OddInputsWorld) {
  this.refusals.forEach(({ status }) => assert.ok(status >= 400 && status <= 599, `${status}`));
});
