import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PlatformEngine } from '@laburnumstream/standins';

/** Encodes a body by the names of framings that step texts use. */
const encodings: Readonly<Record<string, (body: string) => string>> = {
  'a length': (body) => `Content-Length: ${body.length}\r\n\r\n${body}`,
  chunks: (body) =>
    `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
};

/** Which of an engine's responses it writes again: those that refuse a request, or the others. */
export type RepeatedKind = 'answers' | 'refusals';

const refusalHeaders = { 'laburnumstream-not-executed': '1' } as const;
const answerHeaders = { 'laburnumstream-server-seal': 'seal.e0' } as const;

/** One request in as many is refused. */
const refusalInterval = 4;

/** Returns the body of the answer to a request: a stream of one event. */
export function createOwnBody(id: string): string {
  return `id: 1\ndata: ${id}\n\n`;
}

/** An engine that writes responses to earlier requests again, before the response to the waiting one. */
export class RepeatingEngine {
  /** Ids of requests that it ran. */
  readonly ran: string[] = [];

  /** Number of responses that it wrote again. */
  repeatCount = 0;

  private requestCount = 0;

  /** Last response to repeat that was written on a connection. */
  private readonly earlier = new WeakMap<Socket, string>();

  private constructor(
    private readonly repeated: RepeatedKind,
    private readonly framing: string,
  ) {}

  static async start(
    repeated: RepeatedKind,
    framing: string,
  ): Promise<{ engine: PlatformEngine; record: RepeatingEngine }> {
    const record = new RepeatingEngine(repeated, framing);
    const engine = await PlatformEngine.start('e0', ({ socket, headers }, response) =>
      record.respond(socket, String(headers['laburnumstream-request-id']), response),
    );
    return { engine, record };
  }

  private respond(socket: Socket, id: string, response: ServerResponse): void {
    this.requestCount += 1;
    const isRefused = this.repeated === 'refusals' && this.requestCount % refusalInterval === 0;
    const earlier = this.earlier.get(socket);
    if (earlier !== undefined) {
      this.repeatCount += 1;
      this.earlier.delete(socket);
      socket.write(earlier);
    } else if (isRefused || this.repeated === 'answers') {
      this.earlier.set(socket, this.createResponse(isRefused, id));
    }
    if (!isRefused) this.ran.push(id);
    const body = createOwnBody(id);
    const length = this.framing === 'chunks' ? {} : { 'content-length': String(body.length) };
    response.writeHead(isRefused ? 503 : 200, {
      'laburnumstream-request-id': id,
      ...(isRefused ? refusalHeaders : answerHeaders),
      ...length,
    });
    response.write(body);
    response.end();
  }

  private createResponse(isRefused: boolean, id: string): string {
    const status = isRefused ? '503 Full' : '200 OK';
    const headers = Object.entries<string>(isRefused ? refusalHeaders : answerHeaders);
    // What a copy says of the engine must not be heeded either.
    headers.push(['server-leaving', '1']);
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    const encode = encodings[this.framing]!;
    return `HTTP/1.1 ${status}\r\nLaburnumstream-Request-Id: ${id}\r\n${lines}${encode(createOwnBody(id))}`;
  }
}
