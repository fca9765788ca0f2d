// A stand-in for the platform's store, as PROTOCOL.md describes it.
import { createServer } from 'node:http';

const msPerPoll = 50;
const maxItems = 500;

async function readJson(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  const text = Buffer.concat(parts).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export class Store {
  items = new Map();

  leases = new Map();

  events = [];

  revision = 100;

  era = 1;

  nextLease = 1000;

  waiting = new Set();

  sockets = new Set();

  /** Delay of each kind of call in milliseconds, none by default. */
  delays = new Map();

  constructor(record) {
    this.record = record;
    this.timer = setInterval(() => this.expire(), msPerPoll);
  }

  async start(host, port = 0) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
    this.host = host;
    this.port = this.server.address().port;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  /** Writes a value as the operator or an engine does; returns its revision. */
  write(key, value, lease = 0) {
    return this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease);
  }

  read(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
  }

  remove(key) {
    const item = this.items.get(key);
    if (!item) return;
    this.revision += 1;
    this.items.delete(key);
    this.leases.get(item.Lease)?.keys.delete(key);
    this.announce({ Key: key, Revision: this.revision, Removed: true });
  }

  /** Returns a copy of all that the store holds. */
  copy() {
    return {
      items: new Map(this.items),
      leases: new Map(
        [...this.leases].map(([id, lease]) => [id, { ...lease, keys: new Set(lease.keys) }]),
      ),
      events: [...this.events],
      revision: this.revision,
      nextLease: this.nextLease,
    };
  }

  /** Goes away: all connections are reset and new ones are refused. */
  async goAway() {
    clearInterval(this.timer);
    this.waiting.clear();
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
  }

  /** Comes back with the content of a copy; all later content is gone and the era rises by one. */
  async comeBackFrom({ items, leases, events, revision, nextLease }) {
    const now = performance.now();
    this.items = items;
    // A lease that the copy has lives on for its whole time.
    this.leases = leases;
    this.leases.forEach((lease) => Object.assign(lease, { endsAt: now + lease.ttlMs }));
    Object.assign(this, { events, revision, nextLease });
    this.era += 1;
    this.timer = setInterval(() => this.expire(), msPerPoll);
    await this.start(this.host, this.port);
  }

  async stop() {
    await this.goAway();
  }

  put(key, value, leaseId) {
    this.revision += 1;
    const known = this.items.get(key);
    this.leases.get(known?.Lease)?.keys.delete(key);
    const item = {
      Key: key,
      Value: value,
      Revision: this.revision,
      Created: known?.Created ?? this.revision,
      Lease: leaseId,
    };
    this.items.set(key, item);
    this.leases.get(leaseId)?.keys.add(key);
    this.announce(item);
    return this.revision;
  }

  announce(event) {
    this.events.push(event);
    [...this.waiting].forEach((check) => check());
  }

  expire() {
    const now = performance.now();
    [...this.leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => this.endLease(id));
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (!lease) return false;
    this.leases.delete(id);
    lease.keys.forEach((key) => this.remove(key));
    return true;
  }

  send(response, status, body) {
    const text = JSON.stringify({ ...body, AsOf: this.revision });
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'Store-Era': this.era,
    });
    response.end(text);
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readJson(request);
    const call = `${request.method} ${url.pathname.split('/').slice(0, 3).join('/')}`;
    const delayMs = this.delays.get(call) ?? 0;
    if (delayMs > 0)
      await new Promise((resolve) => {
        setTimeout(resolve, delayMs);
      });
    const id = Number(url.pathname.split('/')[3]);
    const query = url.searchParams;
    if (call === 'GET /-/kv-key') this.answerKey(query, response);
    else if (call === 'GET /-/kv-range') this.answerRange(query, response);
    else if (call === 'GET /-/kv-watch') this.answerWatch(query, response);
    else if (call === 'POST /-/kv-txn') this.answerTransaction(body, response);
    else if (call === 'POST /-/kv-lease') this.answerLease(body, response);
    else if (call === 'POST /-/kv-keep') this.answerKeep(id, response);
    else if (call === 'DELETE /-/kv-lease-end')
      this.send(response, this.endLease(id) ? 200 : 404, {});
    else this.send(response, 404, {});
  }

  answerKey(query, response) {
    const item = this.items.get(query.get('Key'));
    this.send(response, item ? 200 : 404, item ?? {});
  }

  answerRange(query, response) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = query.get('After') ?? '';
    const all = [...this.items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    const Items = all.slice(0, maxItems);
    this.send(response, 200, { Items, Truncated: all.length > Items.length });
  }

  answerWatch(query, response) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('After'));
    // A watch from a revision that the store does not have.
    if (after > this.revision) {
      this.record('store', `watch after ${after} gets 410, as the store is at ${this.revision}`);
      this.send(response, 410, {});
      return;
    }
    const select = () =>
      this.events.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
    const wait = { check: () => undefined, timer: undefined };
    const end = () => {
      this.waiting.delete(wait.check);
      clearTimeout(wait.timer);
    };
    const finish = () => {
      end();
      if (!response.destroyed) this.send(response, 200, { events: select() });
    };
    wait.check = () => {
      if (select().length > 0) finish();
    };
    wait.timer = setTimeout(finish, Math.min(30_000, Number(query.get('WaitMs'))));
    response.once('close', end);
    this.waiting.add(wait.check);
    wait.check();
  }

  answerTransaction({ Expected = [], Writes = [], Remove = [] }, response) {
    const isForeign = (key) => key.startsWith('op/') || key.startsWith('servers/');
    if (Writes.some(({ Key }) => isForeign(Key)) || Remove.some(isForeign)) {
      this.send(response, 403, {});
      return;
    }
    if (Writes.some(({ Lease }) => Lease && !this.leases.has(Lease))) {
      this.send(response, 404, {});
      return;
    }
    const current = (key) => this.items.get(key)?.Revision ?? 0;
    if (Expected.some(({ Key, Revision }) => current(Key) !== Revision)) {
      const Items = Expected.flatMap(({ Key }) => this.items.get(Key) ?? []);
      this.send(response, 412, { Items });
      return;
    }
    Writes.forEach(({ Key, Value, Lease = 0 }) => this.put(Key, Value, Lease));
    Remove.forEach((key) => this.remove(key));
    this.send(response, 200, { Revision: this.revision });
  }

  answerLease({ TtlMs }, response) {
    this.nextLease += 1;
    const lease = { ttlMs: TtlMs, endsAt: performance.now() + TtlMs, keys: new Set() };
    this.leases.set(this.nextLease, lease);
    this.send(response, 200, { Lease: this.nextLease, TtlMs });
  }

  answerKeep(id, response) {
    const lease = this.leases.get(id);
    if (lease) lease.endsAt = performance.now() + lease.ttlMs;
    this.send(response, lease ? 200 : 404, lease ? { TtlMs: lease.ttlMs } : {});
  }
}
