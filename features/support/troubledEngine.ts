import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { maxSentBytes } from './endlessEndpoint.js';

/** What an engine answers an agent, by the names that step texts use. */
export const EngineAnswer = {
  report: 'report',
  list: 'list of staged pieces',
  piece: 'staged piece',
  staging: 'answer to a piece',
  order: 'answer to an order',
} as const;

/** One of the values of {@link EngineAnswer}. */
export type EngineAnswer = (typeof EngineAnswer)[keyof typeof EngineAnswer];

const layers = 4;
const smallChunks = Buffer.from('1\r\nx\r\n'.repeat(40_000));
const blockIntervalMs = 1;

function findAnswer({ url = '', method }: IncomingMessage): EngineAnswer {
  if (url.startsWith('/-/report')) return EngineAnswer.report;
  if (url.startsWith('/-/order')) return EngineAnswer.order;
  if (method === 'PUT') return EngineAnswer.staging;
  return url.includes('Num=') ? EngineAnswer.piece : EngineAnswer.list;
}

/** Sends a body in chunks of one byte until the connection closes, at most `maxSentBytes`. */
function sendSmallChunks({ socket }: IncomingMessage): void {
  let sent = 0;
  socket.on('error', () => socket.destroy());
  socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
  const timer = setInterval(() => {
    if (socket.destroyed || sent >= maxSentBytes) clearInterval(timer);
    else if (socket.writableLength === 0) {
      socket.write(smallChunks);
      sent += smallChunks.length;
    }
  }, blockIntervalMs);
}

/** An engine without weights, one of whose answers comes in chunks of one byte without end while it is in trouble. */
export class TroubledEngine {
  readonly server: Server;

  /** Answers without end that were asked for. */
  troubles = 0;

  isInTrouble = true;

  /** Version that it was ordered to load; 0 before. */
  version = 0;

  private readonly staged = new Map<string, Buffer>();

  private constructor(private readonly trouble: EngineAnswer) {
    this.server = createServer((request, response) => this.receive(request, response));
  }

  static async start(trouble: EngineAnswer): Promise<TroubledEngine> {
    const engine = new TroubledEngine(trouble);
    await new Promise<void>((resolve) => {
      engine.server.listen(0, '127.0.0.1', () => resolve());
    });
    return engine;
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.on('end', () => {
      const answer = findAnswer(request);
      if (this.isInTrouble && answer === this.trouble) {
        this.troubles += 1;
        sendSmallChunks(request);
      } else this.answer(answer, request.url!, Buffer.concat(parts), response);
    });
  }

  private answer(answer: EngineAnswer, url: string, body: Buffer, response: ServerResponse): void {
    const number = new URL(url, 'http://local').searchParams.get('Num') ?? '';
    const handlers: Readonly<Record<EngineAnswer, () => void>> = {
      [EngineAnswer.report]: () => response.end(JSON.stringify(this.report())),
      [EngineAnswer.list]: () =>
        response.end(JSON.stringify({ held: [...this.staged.keys()].map(Number) })),
      [EngineAnswer.piece]: () => {
        const piece = this.staged.get(number);
        response.writeHead(piece ? 200 : 404).end(piece);
      },
      [EngineAnswer.staging]: () => {
        this.staged.set(number, body);
        response.end('{}');
      },
      [EngineAnswer.order]: () => {
        this.version = (JSON.parse(body.toString()) as { Version: number }).Version;
        response.writeHead(202).end('{}');
      },
    };
    handlers[answer]();
  }

  private report(): object {
    const { version } = this;
    const state = { born: 1, Active: 0, Queued: 0, Busy: false, Seq: version };
    if (version === 0) return state;
    return { ...state, layers: { From: 0, To: layers, Version: version } };
  }
}
