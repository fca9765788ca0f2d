import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Bytes that an endless response starts with, and those that it repeats. */
export interface EndlessResponse {
  readonly start: string;
  readonly repeated: string;
}

/** Bytes that one endless response sends at most. */
export const maxSentBytes = 64 * 1024 * 1024;
/** Bytes of one write. */
const blockBytes = 256 * 1024;
/** Time between two writes, in milliseconds: at most 256 MB/s. */
const blockIntervalMs = 1;

/** The body of the answer that precedes bytes without end. */
export const bodyBeforeMore = 'whole answer';

const wholeAnswer = `Content-Length: ${bodyBeforeMore.length}\r\n\r\n${bodyBeforeMore}`;
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
const hugeLength = 'Content-Length: 1000000000000\r\n\r\n';
const event = 'Content-Type: text/event-stream\r\n';
const firstEvents = 'id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n';
const smallChunk = '1\r\nx\r\n';
/** Text in chunks of one character each. */
function inSmallChunks(text: string): string {
  return [...text].map((character) => `1\r\n${character}\r\n`).join('');
}

const chunk = `400\r\n${'x'.repeat(1024)}\r\n`;

/** What follows the head `HTTP/1.1 200 OK` with the request's id and the endpoint's signature. */
const afterHead: Readonly<Record<string, EndlessResponse>> = {
  'a header': { start: 'X-Long: ', repeated: 'x' },
  'spaces of a header': { start: 'X-Long:', repeated: ' ' },
  'many headers': { start: '', repeated: 'X-Many: 1\r\n' },
  'a body with a length': { start: hugeLength, repeated: 'x' },
  'a body in chunks': { start: chunked, repeated: chunk },
  'a body in chunks of one byte': { start: chunked, repeated: smallChunk },
  'a body until close': { start: '\r\n', repeated: 'x' },
  'the size of a chunk': { start: chunked, repeated: '0' },
  'an extension of a chunk': { start: `${chunked}5;`, repeated: 'x' },
  'trailers of chunks': { start: `${chunked}5\r\nfirst\r\n0\r\n`, repeated: 'X-Many: 1\r\n' },
  'more after the answer': { start: wholeAnswer, repeated: 'x' },
  'empty lines after the answer': { start: wholeAnswer, repeated: '\r\n' },
  'one event': { start: `${event}\r\n${firstEvents}id: 3\ndata: `, repeated: 'x' },
  'one event in chunks': {
    start: `${event}${chunked}${firstEvents.length.toString(16)}\r\n${firstEvents}\r\n`,
    repeated: chunk,
  },
};

/** What an endpoint sends in place of a head. */
const withoutHead: Readonly<Record<string, EndlessResponse>> = {
  'a status line': { start: 'HTTP/1.1 200 ', repeated: 'x' },
  'empty lines': { start: '', repeated: '\r\n' },
  garbage: { start: '', repeated: 'no answer ' },
  'interim answers': { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  'one line': { start: 'HTTP/1.1 200 OK\r\n\r\n{"text":"', repeated: 'x' },
  'a refusal in chunks of one byte': {
    start: `HTTP/1.1 503 Service Unavailable\r\n${chunked}`,
    repeated: smallChunk,
  },
  'tokens in chunks of one byte': {
    start: `HTTP/1.1 200 OK\r\n${chunked}`,
    repeated: inSmallChunks('{"index":0,"text":"a"}\n'),
  },
  tokens: {
    start: 'HTTP/1.1 200 OK\r\n\r\n',
    repeated: '{"index":0,"text":"some longer token"}\n',
  },
  'a refusal': { start: `HTTP/1.1 404 Not Found\r\n${hugeLength}`, repeated: 'x' },
};

function readRequestId(request: string): string | undefined {
  return /^laburnumstream-request-id: *(\S+)/im.exec(request)?.[1];
}

/** The first line and the id of a request, for messages of failed checks. */
function describeRequest(request: string): string {
  return `${request.split('\r\n', 1)[0]} ${readRequestId(request) ?? 'without an id'}`;
}

function createResponse(name: string, request: string): EndlessResponse {
  const id = readRequestId(request) ?? 'r1';
  const response = withoutHead[name];
  if (response) return response;
  const { start, repeated } = afterHead[name]!;
  const head = `HTTP/1.1 200 OK\r\nLaburnumstream-Request-Id: ${id}\r\nLaburnumstream-Server-Seal: s\r\n`;
  return { start: head + start, repeated };
}

/** TCP server whose responses have no end; each stops by itself after {@link maxSentBytes}. */
export class EndlessEndpoint {
  private readonly sockets = new Set<Socket>();

  /** Bytes that left this process. */
  sentBytes = 0;

  /** First lines and ids of the requests that were received. */
  readonly received: string[] = [];

  /** Resolves when a response has stopped by itself or by its caller. */
  readonly stopped: Promise<void>;

  private markStopped: () => void = () => undefined;

  /** Responses whose connection the caller closed. */
  closedByCaller = 0;

  private constructor(
    private readonly server: Server,
    private readonly response: string,
  ) {
    this.stopped = new Promise((resolve) => {
      this.markStopped = resolve;
    });
  }

  /** Starts an endpoint that sends the response with this name. */
  static async start(response: string): Promise<EndlessEndpoint> {
    const server = createServer();
    const endpoint = new EndlessEndpoint(server, response);
    server.on('connection', (socket) => endpoint.accept(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    return endpoint;
  }

  /** Requests that were received. */
  get requests(): number {
    return this.received.length;
  }

  /** IP:PORT */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    let isSending = false;
    socket.on('data', (bytes) => {
      if (isSending) return;
      isSending = true;
      this.received.push(describeRequest(bytes.toString('latin1')));
      socket.once('close', () => {
        this.closedByCaller += 1;
      });
      void this.send(socket, createResponse(this.response, bytes.toString('latin1')));
    });
  }

  private async send(socket: Socket, { start, repeated }: EndlessResponse): Promise<void> {
    const block = Buffer.from(repeated.repeat(Math.ceil(blockBytes / repeated.length)), 'latin1');
    if (start !== '') socket.write(start);
    for (let sent = 0; sent < maxSentBytes && !socket.destroyed; sent += block.length) {
      if (await EndlessEndpoint.write(socket, block)) this.sentBytes += block.length;
      await sleep(blockIntervalMs);
    }
    this.markStopped();
  }

  /** Returns whether the bytes left this process before the connection closed. */
  private static write(socket: Socket, bytes: Buffer): Promise<boolean> {
    return new Promise((resolve) => {
      const close = (): void => resolve(false);
      socket.once('close', close);
      socket.write(bytes, (error) => {
        socket.off('close', close);
        resolve(!error);
      });
    });
  }
}
