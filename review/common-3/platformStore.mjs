import { createServer } from 'node:http';

/** A stand-in of the platform's store: items, watches, transactions and leases, as PROTOCOL.md says. */
export class PlatformStore {
  constructor() {
    Object.assign(this, { items: new Map(), leases: new Map(), waiting: new Set(), events: [] });
    Object.assign(this, { revision: 1, lastLease: 0, era: 1, isAway: false });
  }

  async start(ip = '127.0.0.1') {
    this.server = createServer((request, response) => void this.handle(request, response));
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
    setInterval(() => this.expire(), 100).unref();
    return this;
  }

  /** Writes a value as the operator or an engine does. */
  write(key, value, lease = 0) {
    this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease);
    this.wake();
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.events.push({ Key: key, Revision: this.revision, Removed: true });
    this.wake();
  }

  put(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.Created ?? this.revision;
    const item = {
      Key: key,
      Value: value,
      Revision: this.revision,
      Created: created,
      Lease: lease,
    };
    this.items.set(key, item);
    this.events.push(item);
  }

  /** Returns what the store holds, as a copy from which it may come back. */
  copy() {
    const { items, leases, events, revision, lastLease } = this;
    return { items: [...items], leases: [...leases], events: [...events], revision, lastLease };
  }

  /** Goes away for a moment and comes back from a copy; what was written since is lost. */
  async restore({ items, leases, events, revision, lastLease }, awayMs) {
    this.isAway = true;
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      setTimeout(resolve, awayMs);
    });
    Object.assign(this, { items: new Map(items), leases: new Map(leases), events, revision });
    Object.assign(this, { lastLease, era: this.era + 1, isAway: false });
  }

  wake() {
    [...this.waiting].forEach((check) => check());
  }

  expire() {
    const at = Date.now();
    this.leases.forEach(({ until: end }, lease) => {
      if (end > at) return;
      this.leases.delete(lease);
      [...this.items.values()]
        .filter((item) => item.Lease === lease)
        .forEach((item) => this.remove(item.Key));
    });
  }

  async handle(request, response) {
    if (this.isAway) {
      request.socket.destroy();
      return;
    }
    response.setHeader('Store-Era', this.era);
    const parts = [];
    for await (const part of request) parts.push(part);
    const url = new URL(request.url, 'http://store');
    const send = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    const body = parts.length > 0 ? JSON.parse(Buffer.concat(parts).toString('utf8')) : {};
    const [, , call, id] = url.pathname.split('/');
    const query = url.searchParams;
    if (call === 'kv-range') {
      const prefix = query.get('PathPrefix') ?? '';
      const after = query.get('After') ?? '';
      const found = [...this.items.values()]
        .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      const page = found.slice(0, 50);
      send(200, { Items: page, Truncated: found.length > page.length, AsOf: this.revision });
    } else if (call === 'kv-key') {
      const item = this.items.get(query.get('Key'));
      if (item) send(200, { ...item, AsOf: this.revision });
      else send(404, {});
    } else if (call === 'kv-watch') this.watch(query, response, send);
    else if (call === 'kv-txn') {
      const { Expected = [], Writes = [], Remove = [] } = body;
      const isMet = Expected.every(
        ({ Key, Revision }) => (this.items.get(Key)?.Revision ?? 0) === Revision,
      );
      if (!isMet) send(412, { Items: Expected.flatMap(({ Key }) => this.items.get(Key) ?? []) });
      else if (Writes.some(({ Lease }) => Lease && !this.leases.has(Lease))) send(404, {});
      else {
        Writes.forEach(({ Key, Value, Lease = 0 }) => this.put(Key, Value, Lease));
        Remove.forEach((key) => this.remove(key));
        this.wake();
        send(200, { Revision: this.revision });
      }
    } else if (call === 'kv-lease') {
      this.lastLease += 1;
      this.leases.set(this.lastLease, { ttl: body.TtlMs, until: Date.now() + body.TtlMs });
      send(200, { Lease: this.lastLease, TtlMs: body.TtlMs });
    } else if (call === 'kv-keep') {
      const lease = this.leases.get(Number(id));
      if (!lease) send(404, {});
      else {
        lease.until = Date.now() + lease.ttl;
        send(200, { TtlMs: lease.ttl });
      }
    } else if (call === 'kv-lease-end') {
      const lease = this.leases.get(Number(id));
      if (lease) lease.until = 0;
      this.expire();
      send(lease ? 200 : 404, {});
    } else send(404, {});
  }

  watch(query, response, send) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('After'));
    if (after > this.revision) {
      send(410, {});
      return;
    }
    const find = () =>
      this.events.filter(({ Key, Revision }) => Key.startsWith(prefix) && Revision > after);
    const waiter = { check: undefined, timer: undefined };
    const end = () => {
      clearTimeout(waiter.timer);
      this.waiting.delete(waiter.check);
    };
    const answer = () => {
      end();
      if (!response.destroyed) send(200, { events: find(), AsOf: this.revision });
    };
    waiter.check = () => {
      if (find().length > 0) answer();
    };
    waiter.timer = setTimeout(answer, Number(query.get('WaitMs')));
    response.once('close', end);
    this.waiting.add(waiter.check);
    waiter.check();
  }
}
