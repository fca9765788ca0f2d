import { EventEmitter } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** A key with its value and when it was last changed. */
interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly Lease: number;
}

/** A write, or a removal. */
type Event = Item | { readonly Key: string; readonly Revision: number; readonly Removed: true };

interface Transaction {
  readonly Expected: readonly { readonly Key: string; readonly Revision: number }[];
  readonly Writes: readonly {
    readonly Key: string;
    readonly Value: string;
    readonly Lease?: number;
  }[];
  readonly Remove: readonly string[];
}

type Handler = (query: URLSearchParams, body: string, response: ServerResponse) => void;

async function bodyOf(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Breaks the connection when the answer is sent. */
function loseAnswer(response: ServerResponse): void {
  response.writeHead = (): ServerResponse => {
    response.destroy();
    return response;
  };
}

/** The users' platform store, as far as tests need it. */
export class PlatformStore {
  /** Whether calls get no answer. */
  isSilent = false;

  /** Status that all calls get; undefined for right answers. */
  refusal: number | undefined;

  /** Delay before each call is carried out, in milliseconds. */
  delayMs = 0;

  /** Whether an answer is lost although the call took effect. */
  losesAnswer: () => boolean = () => false;

  private readonly changed = new EventEmitter().setMaxListeners(0);

  private readonly items = new Map<string, Item>();

  private readonly events: Event[] = [];

  private revision = 1;

  /** The oldest revision whose changes are still known. */
  private oldest = 0;

  private leases = 0;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    '/-/kv-range': (query, _body, response) => {
      const prefix = query.get('PathPrefix') ?? '';
      const Items = [...this.items.values()].filter(({ Key }) => Key.startsWith(prefix));
      send(response, 200, { Items, Truncated: false, AsOf: this.revision });
    },
    '/-/kv-watch': (query, _body, response) => this.watch(query, response),
    '/-/kv-txn': (_query, body, response) => {
      const { Expected, Writes, Remove } = JSON.parse(body) as Transaction;
      const holds = Expected.every(
        ({ Key, Revision }) => (this.items.get(Key)?.Revision ?? 0) === Revision,
      );
      if (!holds) {
        send(response, 412, { Items: [] });
        return;
      }
      Writes.forEach(({ Key, Value, Lease = 0 }) => this.put(Key, Value, Lease));
      Remove.forEach((key) => this.remove(key));
      send(response, 200, { Revision: this.revision });
    },
    '/-/kv-lease': (_query, body, response) => {
      const { TtlMs } = JSON.parse(body) as { TtlMs: number };
      this.leases += 1;
      send(response, 200, { Lease: this.leases, TtlMs });
    },
  };

  private constructor(private readonly server: Server) {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      void this.answer(request, response);
    });
  }

  static async start(): Promise<PlatformStore> {
    const store = new PlatformStore(createServer());
    await new Promise<void>((resolve) => {
      store.server.listen(0, '127.0.0.1', () => resolve());
    });
    return store;
  }

  /** IP:PORT */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Writes a value as operators and engines do. */
  write(key: string, value: object): void {
    this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.events.push({ Key: key, Revision: this.revision, Removed: true });
    this.changed.emit('change');
  }

  /** Revision of the last change. */
  get lastRevision(): number {
    return this.revision;
  }

  /** Drops the history. */
  compact(): void {
    this.oldest = this.revision;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private put(key: string, value: string, lease: number): void {
    this.revision += 1;
    const item = { Key: key, Value: value, Revision: this.revision, Lease: lease };
    this.items.set(key, item);
    this.events.push(item);
    this.changed.emit('change');
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await bodyOf(request);
    if (this.isSilent) return;
    if (this.refusal !== undefined) {
      send(response, this.refusal, {});
      return;
    }
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (this.losesAnswer()) loseAnswer(response);
    const url = new URL(request.url ?? '/', 'http://store');
    const handler = this.handlers[url.pathname];
    if (handler) handler(url.searchParams, body, response);
    else send(response, 200, {});
  }

  private watch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('After'));
    if (after < this.oldest) {
      send(response, 410, {});
      return;
    }
    const eventsNow = (): Event[] =>
      this.events.filter(({ Key, Revision }) => Key.startsWith(prefix) && Revision > after);
    const waiting = new AbortController();
    const answer = (): void => {
      waiting.abort();
      if (!this.isSilent && !response.destroyed) {
        send(response, 200, { events: eventsNow(), AsOf: this.revision });
      }
    };
    const look = (): void => {
      if (eventsNow().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(query.get('WaitMs')));
    waiting.signal.addEventListener('abort', () => {
      clearTimeout(timer);
      this.changed.off('change', look);
    });
    response.once('close', () => waiting.abort());
    this.changed.on('change', look);
    look();
  }
}
