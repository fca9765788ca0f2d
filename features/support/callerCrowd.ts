import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ListenerName } from './limitedEntry.js';
import type { LimitedEntry } from './limitedEntry.js';
import { platformHost } from './platformFleet.js';

/** How the connections of a crowd read. */
const Reading = {
  none: 'none',
  /** A byte per second. */
  slow: 'slow',
  /** All that arrives. */
  full: 'full',
} as const;

/** One of the values of {@link Reading}. */
type Reading = (typeof Reading)[keyof typeof Reading];

/** How one connection of a crowd behaves. */
interface CrowdKind {
  /** The listener that it connects to; that of the callers by default. */
  readonly listener?: ListenerName;
  /** What it sends at once. */
  readonly bytes: Buffer;
  /** What it sends over and over afterwards, as fast as it is read. */
  readonly repeated?: Buffer;
  /** How it reads; not at all by default. */
  readonly reading?: Reading;
  /** Whether it resets the connection after that and comes back. */
  readonly comesBack?: boolean;
}

/** Time for which a crowd goes on, in milliseconds. */
const crowdMs = 6_000;
/** Time after which a connection that comes back is reset, in milliseconds. */
const visitMs = 300;
/** Time after which it opens the next one, in milliseconds. */
const returnMs = 20;
const secondMs = 1_000;
const largeChunkBytes = 65_536;
const largeChunks = 15;
const smallChunks = 90_000;
const pipelinedRequests = 2_000;
const pipelinedLargeRequests = 40;
const manyHeaders = 1_500;
const openHeadBytes = 15_000;

function buildHead(path: string, ...headers: string[]): string {
  const common = [`Host: ${platformHost}`, 'Authorization: Bearer key-1'];
  return `${[`POST ${path} HTTP/1.1`, ...common, ...headers].join('\r\n')}\r\n\r\n`;
}

const chunkedHead = buildHead('/safe/x', 'Transfer-Encoding: chunked');
const oneByteChunks = '1\r\nx\r\n'.repeat(smallChunks);
const largeChunk = `${largeChunkBytes.toString(16)}\r\n${'x'.repeat(largeChunkBytes)}\r\n`;
const smallRequest = buildHead('/safe/x', 'Content-Length: 0');
const largeRequest = buildHead('/safe/large', 'Content-Length: 0');
const openHead = `POST /safe/x HTTP/1.1\r\nHost: ${platformHost}\r\nx: `;
const getRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: entry\r\n\r\n`;
const feedRequest = getRequest('/feed?after=0&waitMs=2000');
const endlessBody = {
  bytes: Buffer.from('POST /x HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n'),
  repeated: Buffer.from('1\r\nx\r\n'.repeat(4_096)),
};

/** Asks for a response that is never whole, by the last part of its path. */
function askForPieces(name: string, reading: Reading, route = 'stream'): CrowdKind {
  const headers = ['Laburnumstream-Request-Id: pieces-1', 'Content-Length: 0'];
  return { bytes: Buffer.from(buildHead(`/${route}/${name}`, ...headers)), reading };
}

function repeat(text: string, times: number): Buffer {
  return Buffer.from(text.repeat(times));
}

const silent = { bytes: Buffer.alloc(0) };

/** The crowds by the names that the feature gives them. */
const crowds: Readonly<Record<string, CrowdKind>> = {
  'unfinished bodies in large chunks': {
    bytes: Buffer.from(chunkedHead + largeChunk.repeat(largeChunks)),
  },
  'unfinished bodies in chunks of one byte': { bytes: Buffer.from(chunkedHead + oneByteChunks) },
  'whole bodies in chunks of one byte': {
    bytes: Buffer.from(`${chunkedHead}${oneByteChunks}0\r\n\r\n`),
  },
  'pipelined requests that are not read': { bytes: repeat(smallRequest, pipelinedRequests) },
  'pipelined large responses left unread': { bytes: repeat(largeRequest, pipelinedLargeRequests) },
  'large responses read byte by byte': { bytes: Buffer.from(largeRequest), reading: Reading.slow },
  'large streams read byte by byte': {
    bytes: Buffer.from(buildHead('/stream/large', 'Content-Length: 0')),
    reading: Reading.slow,
  },
  'streams of empty lines that are read': askForPieces('empty-lines', Reading.full),
  'streams of empty lines read byte by byte': askForPieces('empty-lines', Reading.slow),
  'streams of empty lines left unread': askForPieces('empty-lines', Reading.none),
  'streams of comments that are read': askForPieces('comments', Reading.full),
  'streams of small events that are read': askForPieces('events', Reading.full),
  'streams of small events left unread': askForPieces('events', Reading.none),
  'streams of small events in chunks of one byte': askForPieces('events-in-chunks', Reading.full),
  'streams of one event in chunks of one byte': askForPieces('one-event-in-chunks', Reading.full),
  'streams of refusals in chunks of one byte': askForPieces('refusal-in-chunks', Reading.full),
  'answers in chunks of one byte': askForPieces('one-event-in-chunks', Reading.full, 'unsafe'),
  'heads that never end': { bytes: Buffer.from(openHead + 'x'.repeat(openHeadBytes)) },
  'heads with many headers': {
    bytes: repeat(
      buildHead('/safe/x', 'Content-Length: 0', ...Array<string>(manyHeaders).fill('a:b')),
      largeChunks,
    ),
  },
  'trailers that never end': {
    bytes: Buffer.from(`${chunkedHead}1\r\nx\r\n0\r\n`),
    repeated: repeat('a:b\r\n', manyHeaders),
  },
  'chunk extensions that never end': {
    bytes: Buffer.from(chunkedHead),
    repeated: Buffer.from(`1;${'a=b;'.repeat(manyHeaders)}\r\nx\r\n`),
  },
  'connections that send nothing': silent,
  'bodies reset midway': {
    bytes: Buffer.from(chunkedHead + largeChunk.repeat(largeChunks)),
    comesBack: true,
  },
  'clients that keep coming back': {
    bytes: Buffer.from(smallRequest.repeat(pipelinedRequests) + chunkedHead + oneByteChunks),
    comesBack: true,
  },
  'silent connections to the feed': { listener: ListenerName.feed, ...silent },
  'pipelined requests to the feed': {
    listener: ListenerName.feed,
    bytes: repeat(feedRequest, pipelinedRequests),
  },
  'endless bodies to the feed': { listener: ListenerName.feed, ...endlessBody },
  'silent connections to the metrics': { listener: ListenerName.metrics, ...silent },
  'pipelined requests to the metrics': {
    listener: ListenerName.metrics,
    bytes: repeat(getRequest('/metrics'), pipelinedRequests),
  },
  'endless bodies to the metrics': { listener: ListenerName.metrics, ...endlessBody },
  'silent connections to the readiness port': { listener: ListenerName.readiness, ...silent },
  'pipelined requests to the readiness port': {
    listener: ListenerName.readiness,
    bytes: repeat(getRequest('/'), pipelinedRequests),
  },
};

/** Sends bytes over and over, as fast as they are read. */
export function sendRepeatedly(socket: Socket, bytes: Buffer): void {
  const send = (): void => {
    if (!socket.writable) return;
    socket.write(bytes, () => setImmediate(send));
  };
  send();
}

/** Clients that do not keep to the limits, on connections that they hold until they are closed. */
export class CallerCrowd {
  private readonly sockets = new Set<Socket>();

  private readonly timers = new Set<NodeJS.Timeout>();

  private isClosed = false;

  private readonly kind: CrowdKind;

  constructor(
    private readonly entry: LimitedEntry,
    name: string,
  ) {
    const kind = crowds[name];
    assert.ok(kind, `There is no crowd "${name}".`);
    this.kind = kind;
  }

  /** Opens the connections, and resolves when the crowd has had its time. */
  async run(connections: number): Promise<void> {
    for (let index = 0; index < connections; index += 1) this.open();
    await sleep(crowdMs);
  }

  close(): void {
    this.isClosed = true;
    this.timers.forEach((timer) => clearInterval(timer));
    this.sockets.forEach((socket) => socket.destroy());
  }

  private open(): void {
    if (this.isClosed) return;
    const { listener = ListenerName.callers, bytes, repeated, reading, comesBack } = this.kind;
    const socket = connect(this.entry.port(listener), '127.0.0.1');
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.sockets.delete(socket);
      if (comesBack) setTimeout(() => this.open(), returnMs);
    });
    socket.pause();
    if (reading === Reading.full) socket.resume();
    if (reading === Reading.slow) this.timers.add(setInterval(() => socket.read(1), secondMs));
    socket.once('connect', () => {
      socket.write(bytes);
      if (repeated) sendRepeatedly(socket, repeated);
      if (comesBack) setTimeout(() => socket.resetAndDestroy(), visitMs);
    });
  }
}
