import { EventEmitter } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** A key with its value and the revision of its last change. */
interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly Lease: number;
}

/** A write or a removal, as a watch reports it. */
type ChangeEvent =
  Item | { readonly Key: string; readonly Revision: number; readonly Removed: true };

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

async function readBody(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
}

/** What a store held at a time. */
export interface StoreCopy {
  readonly items: readonly Item[];
  readonly events: readonly ChangeEvent[];
  readonly revision: number;
  readonly lastLease: number;
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Closes the connection instead of sending the response. */
function dropResponse(response: ServerResponse): void {
  response.writeHead = (): ServerResponse => {
    response.destroy();
    return response;
  };
}

/** A stand-in for the users' platform store, limited to the calls that tests need. */
export class PlatformStore {
  /** Whether calls get no response. */
  isSilent = false;

  /** Status returned to all calls; undefined handles them normally. */
  forcedStatus: number | undefined;

  /** Delay before each call takes effect, in milliseconds. */
  delayMs = 0;

  /** Decides for each call whether its response is lost although the call takes effect. */
  shouldDropResponse: () => boolean = () => false;

  private readonly changed = new EventEmitter().setMaxListeners(0);

  private items = new Map<string, Item>();

  private events: ChangeEvent[] = [];

  private revision = 1;

  /** Revision up to which the history of changes has been compacted. */
  private compactedRevision = 0;

  private lastLease = 0;

  /** Rises by one each time when the store comes back from a copy. */
  private epoch = 1;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    '/-/kv-range': (query, _body, response) => {
      const prefix = query.get('PathPrefix') ?? '';
      const Items = [...this.items.values()].filter(({ Key }) => Key.startsWith(prefix));
      send(response, 200, { Items, Truncated: false, AsOf: this.revision });
    },
    '/-/kv-watch': (query, _body, response) => this.watch(query, response),
    '/-/kv-txn': (_query, body, response) => {
      const { Expected, Writes, Remove } = JSON.parse(body) as Transaction;
      const isConditionMet = Expected.every(
        ({ Key, Revision }) => (this.items.get(Key)?.Revision ?? 0) === Revision,
      );
      if (!isConditionMet) {
        send(response, 412, { Items: [] });
        return;
      }
      Writes.forEach(({ Key, Value, Lease = 0 }) => this.put(Key, Value, Lease));
      Remove.forEach((key) => this.remove(key));
      send(response, 200, { Revision: this.revision });
    },
    '/-/kv-lease': (_query, body, response) => {
      const { TtlMs } = JSON.parse(body) as { TtlMs: number };
      this.lastLease += 1;
      send(response, 200, { Lease: this.lastLease, TtlMs });
    },
  };

  private constructor(private readonly server: Server) {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      void this.handle(request, response);
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

  /** Writes a value in the encoding that operators and engines use. */
  write(key: string, value: object): void {
    this.writeBytes(key, JSON.stringify(value));
  }

  /** Writes a value of any bytes, or a text in UTF-8, as another writer may do. */
  writeBytes(key: string, value: Buffer | string): void {
    this.put(key, Buffer.from(value as string).toString('base64'), 0);
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.events.push({ Key: key, Revision: this.revision, Removed: true });
    this.changed.emit('change');
  }

  /** Returns a value as it is stored, in base64. */
  read(key: string): string | undefined {
    return this.items.get(key)?.Value;
  }

  /** Returns the keys with a prefix. */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Revision of the last change. */
  get lastRevision(): number {
    return this.revision;
  }

  /** Compacts the history: watches after an earlier revision get a 410. */
  compact(): void {
    this.compactedRevision = this.revision;
  }

  /** Returns a copy from which the store may come back later. */
  copy(): StoreCopy {
    const { items, events, revision, lastLease } = this;
    return { items: [...items.values()], events: [...events], revision, lastLease };
  }

  /** Loses all that came after a copy; all calls in progress end without a response. */
  restore({ items, events, revision, lastLease }: StoreCopy): void {
    this.server.closeAllConnections();
    this.items = new Map(items.map((item) => [item.Key, item]));
    this.events = [...events];
    this.revision = revision;
    this.lastLease = lastLease;
    this.epoch += 1;
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

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (this.isSilent) return;
    response.setHeader('Store-Era', this.epoch);
    if (this.forcedStatus !== undefined) {
      send(response, this.forcedStatus, {});
      return;
    }
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (this.shouldDropResponse()) dropResponse(response);
    const url = new URL(request.url ?? '/', 'http://store');
    const handler = this.handlers[url.pathname];
    if (handler) handler(url.searchParams, body, response);
    else send(response, 200, {});
  }

  private watch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('After'));
    if (after < this.compactedRevision || after > this.revision) {
      send(response, 410, {});
      return;
    }
    const getPendingEvents = (): ChangeEvent[] =>
      this.events.filter(({ Key, Revision }) => Key.startsWith(prefix) && Revision > after);
    const finished = new AbortController();
    const respond = (): void => {
      finished.abort();
      if (!this.isSilent && !response.destroyed) {
        send(response, 200, { events: getPendingEvents(), AsOf: this.revision });
      }
    };
    const respondIfChanged = (): void => {
      if (getPendingEvents().length > 0) respond();
    };
    const timer = setTimeout(respond, Number(query.get('WaitMs')));
    finished.signal.addEventListener('abort', () => {
      clearTimeout(timer);
      this.changed.off('change', respondIfChanged);
    });
    response.once('close', () => finished.abort());
    this.changed.on('change', respondIfChanged);
    respondIfChanged();
  }
}
