import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Behaviour, PlatformEngine } from '@laburnumstream/standins';

/** Number of events of each stream. */
export const eventCount = 6;
/** Events of a stream that breaks before its end. */
const eventsBeforeBreak = 3;

/** Body of an answer that is no stream. */
export const answerBody = 'whole answer';

interface HeadFraming {
  readonly header: string;
  encode(body: string): string;
  /** Whether the connection ends the answer. */
  readonly closes: boolean;
}

/** Framings of answers, by the names that step texts use. */
export const headFramings: Readonly<Record<string, HeadFraming>> = {
  'with a length': {
    header: `Content-Length: ${answerBody.length}\r\n`,
    encode: (body) => body,
    closes: false,
  },
  'without a length': { header: '', encode: (body) => body, closes: true },
  'in chunks': {
    header: 'Transfer-Encoding: chunked\r\n',
    encode: (body) => `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    closes: false,
  },
};

/** Returns the head of an answer. */
export function createHead(framing: string, id: string, engine: string, added = ''): string {
  const ids = `Laburnumstream-Request-Id: ${id}\r\nLaburnumstream-Server-Seal: seal.${engine}\r\n`;
  return `HTTP/1.1 200 OK\r\n${ids}${headFramings[framing]!.header}${added}\r\n`;
}

function createEvents(after: number, last: number): string {
  const ids = Array.from({ length: last - after }, (_, index) => after + index + 1);
  return ids.map((id) => `id: ${id}\ndata: token ${id}\n\n`).join('');
}

/** What engines do in one round. */
export interface CutPlan {
  readonly framing: string;
  /** Whether connections are kept after whole answers. */
  readonly keeps: boolean;
  /** Number of the arrival of a request at which its head is cut. */
  readonly cutArrival: number;
  /** Byte at which the head is cut; undefined to cut none. */
  cutAt: number | undefined;
}

/** Engines that cut heads by a plan that they share. */
export class CuttingEngines {
  /** Arrivals of each request, by its id. */
  readonly arrivals = new Map<string, number>();

  /** Engines at which heads were cut. */
  readonly cutEngines = new Set<string>();

  /** Heads that were cut on a connection that had carried a request before, and on others. */
  readonly cuts = { kept: 0, fresh: 0 };

  private readonly usedSockets = new WeakSet<Socket>();

  constructor(readonly plan: CutPlan) {}

  /** Behaviour of each engine. */
  readonly behaviour: Behaviour = (request, _response, engine) => {
    const id = String(request.headers['laburnumstream-request-id']);
    const arrival = (this.arrivals.get(id) ?? 0) + 1;
    this.arrivals.set(id, arrival);
    const { cutAt, cutArrival } = this.plan;
    if (cutAt !== undefined && arrival === cutArrival) this.cut(request, engine, id, cutAt);
    else if (cutAt !== undefined && arrival < cutArrival) CuttingEngines.break(request, engine, id);
    else this.answer(request, engine, id);
    this.usedSockets.add(request.socket);
  };

  private cut({ socket }: IncomingMessage, engine: PlatformEngine, id: string, at: number): void {
    this.cutEngines.add(engine.id);
    this.cuts[this.usedSockets.has(socket) ? 'kept' : 'fresh'] += 1;
    socket.end(createHead(this.plan.framing, id, engine.id).slice(0, at));
  }

  /** Sends a part of a stream and resets the connection. */
  private static break({ socket }: IncomingMessage, engine: PlatformEngine, id: string): void {
    const head = createHead(
      'without a length',
      id,
      engine.id,
      'Content-Type: text/event-stream\r\n',
    );
    socket.write(`${head}${createEvents(0, eventsBeforeBreak)}id: 4\nda`, () =>
      setTimeout(() => socket.resetAndDestroy(), 5),
    );
  }

  private answer(request: IncomingMessage, engine: PlatformEngine, id: string): void {
    const { socket, url = '', headers } = request;
    const { framing, keeps } = this.plan;
    const { encode, closes } = headFramings[framing]!;
    const isStream = url.startsWith('/stream/');
    const type = isStream ? 'Content-Type: text/event-stream\r\n' : '';
    const ends = closes || !keeps;
    // Requests between the cuts leave a connection that is kept, whatever the framing.
    const isWarmUp = id.startsWith('warm');
    const head = createHead(
      isWarmUp ? 'with a length' : framing,
      id,
      engine.id,
      `${type}${(isWarmUp ? !keeps : ends) ? 'Connection: close\r\n' : ''}`,
    );
    const after = Number(headers['last-event-id'] ?? 0);
    const body = isStream && !isWarmUp ? createEvents(after, eventCount) : answerBody;
    const bytes = `${head}${isWarmUp ? body : encode(body)}`;
    if (isWarmUp ? !keeps : ends) socket.end(bytes);
    else socket.write(bytes);
  }
}
