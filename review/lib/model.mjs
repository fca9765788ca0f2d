// A stand-in for a model engine on its side machine, as PROTOCOL.md describes it.
import { createServer } from 'node:http';
import { freePort, nextHost, sleep } from './programs.mjs';

export const model = 'daka510000';
export const chunks = 48;
export const chunkBytes = 49_152;
export const layers = 16;
const eventMs = 10;

let count = 0;

/** The bytes of a piece of a version. */
export function pieceOf(version, number) {
  return Buffer.alloc(chunkBytes, `${version}:${number};`);
}

/** The service of a model as the operator's configuration states it. */
export function modelService(name) {
  return {
    Name: name,
    HealthPath: '/health',
    MaxConns: 344,
    Protocol: 'h1',
    Tls: false,
    ColdS: 3,
    ColdPerS: 36,
    Engine: {
      Slots: 16,
      KvCapacity: 685_000,
      KvTokenBytes: 327_680,
      LinkMbps: 400_000,
      Stride: 6,
      Models: [{ Name: model, pace: 1, LoadS: 4, WarmS: 0.3 }],
      SizeMb: 297_000,
      AdapterSlots: 8,
      LoadsPerS: 0,
      step_ms: 7.4,
      per_seq_ms: 0.0387,
      context_per_k: 0.0203,
      read_per_s: 31_900,
      pairs_per_m: 0.733,
      chunk: 2048,
      report_lag_ms: 200,
      loads_at_once: 8,
      usual: { prompt: 973, answer: 106 },
      layers,
      layer_mb: 4540,
      act_bytes: 16_384,
      pipe_mbps: 0,
      Chunks: chunks,
      ChunkBytes: chunkBytes,
    },
  };
}

export function originService(name, address) {
  return { Name: name, Origin: address, Zone: 'alpine-a', LinkMbps: 15, MaxConns: 48 };
}

async function readBytes(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}

export function send(response, status, body = '', headers = {}) {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  response.end(body);
}

export function listen(server, host, port) {
  return new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
}

/** A model engine. */
export class ModelServer {
  requests = new Map();

  constructor(service, zone, store, record, version = 1) {
    count += 1;
    this.id = `i-${(0x2d9e6b00 + count).toString(16)}`;
    Object.assign(this, { service, zone, store, record, version });
    this.host = nextHost();
    this.orders = 0;
    this.isBusy = false;
    this.slots = 16;
    this.events = 21;
    this.staged = new Map();
  }

  async start(port = undefined) {
    this.born = Date.now();
    if (this.version > 0)
      for (let at = 0; at < chunks; at += 1) this.staged.set(at, pieceOf(this.version, at));
    this.server = createServer((request, response) => {
      request.on('error', () => undefined);
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    await listen(this.server, this.host, port ?? (await freePort(this.host)));
    this.port = this.server.address().port;
    this.address = `${this.host}:${this.port}`;
    this.register();
  }

  get state() {
    const held = this.version > 0 ? { From: 0, To: layers, Version: this.version } : undefined;
    const Models = held ? [{ Name: model, Version: this.version, Adapters: [] }] : [];
    return {
      Stage: 'hybrid',
      Models,
      Seq: this.orders,
      born: this.born,
      ...(held && { layers: held }),
    };
  }

  register() {
    this.store.write(`servers/${this.id}`, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      ...this.state,
    });
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://engine');
    if (url.pathname === '/-/report') this.report(response);
    else if (url.pathname === `/-/stage-get/${model}`) this.readStaged(url, response);
    else if (url.pathname === `/-/stage-put/${model}`) {
      const bytes = await readBytes(request);
      this.staged.set(Number(url.searchParams.get('Num')), bytes);
      send(response, 200);
    } else if (url.pathname === '/-/order') this.order(await readBytes(request), response);
    else await this.run(request, response);
  }

  report(response) {
    const body = {
      ...this.state,
      Busy: this.isBusy,
      Queued: 0,
      Active: this.requests.size,
      KvUsed: 1000 * this.requests.size,
      KvTotal: 685_000,
      Handles: 0,
      pace: 1,
    };
    send(response, 200, JSON.stringify(body), { 'content-type': 'application/json' });
  }

  readStaged(url, response) {
    const number = url.searchParams.get('Num');
    if (number === null) send(response, 200, JSON.stringify({ held: [...this.staged.keys()] }));
    else if (this.staged.has(Number(number))) send(response, 200, this.staged.get(Number(number)));
    else send(response, 404);
  }

  order(bytes, response) {
    const { Op, Version, Expected } = JSON.parse(bytes.toString('utf8'));
    if (Op !== 'start' || (Expected !== undefined && Expected !== this.orders) || this.isBusy) {
      send(response, 409);
      return;
    }
    if (Version === this.version) {
      send(response, 200);
      return;
    }
    this.orders += 1;
    this.isBusy = true;
    const spoilt = Array.from({ length: chunks }, (_, at) => at).filter(
      (at) => !this.staged.get(at)?.equals(pieceOf(Version, at)),
    );
    this.record(
      this.id,
      `accepts the order to load ${Version}; ${spoilt.length} pieces are not of it`,
      {
        loaded: Version,
        spoilt,
      },
    );
    send(response, 202);
    void this.load(Version, spoilt.length);
  }

  async load(version, mixed) {
    while (this.requests.size > 0) await sleep(eventMs);
    await sleep(300);
    Object.assign(this, { version, mixed });
    this.isBusy = false;
    this.register();
  }

  async run(request, response) {
    const { headers } = request;
    const id = headers['laburnumstream-request-id'];
    const echo = { 'Laburnumstream-Request-Id': id };
    if (headers['laburnumstream-expect-instance'] !== this.id) {
      send(response, 421, '', { ...echo, 'Laburnumstream-Instance-Id': this.id });
      return;
    }
    await readBytes(request);
    if (this.version === 0 || this.requests.size >= this.slots * 2) {
      send(response, 503, '', { ...echo, 'Laburnumstream-Not-Executed': 1 });
      return;
    }
    // The engine queues what arrives while it loads.
    while (this.isBusy) await sleep(eventMs);
    this.requests.set(id, request);
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    this.record(this.id, `runs ${id} from event ${first}`, {
      ran: id,
      first,
      mixed: this.mixed ?? 0,
      headers,
    });
    response.writeHead(200, {
      ...echo,
      'Laburnumstream-Server-Seal': `seal.${this.id}.${id}`,
      'Laburnumstream-Weight-Versions': this.version,
      'content-type': 'text/event-stream',
    });
    for (let at = first; at <= this.events && !response.destroyed; at += 1) {
      await sleep(eventMs);
      const text = `id: ${at}\ndata: part ${at} of ${id}\n\n`;
      if (this.cutAt?.(id, at)) {
        response.write(text.slice(0, 14));
        this.record(this.id, `stops ${id} within event ${at}`, { stopped: id, at });
        break;
      }
      response.write(text);
    }
    this.requests.delete(id);
    response.end();
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
