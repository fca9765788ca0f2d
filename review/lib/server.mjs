// A stand-in for an engine of a plain service, as PROTOCOL.md describes it.
import { createServer } from 'node:http';
import { nextHost } from './programs.mjs';

let count = 0;

async function readBytes(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}

export class ServiceServer {
  active = 0;

  constructor(service, zone, store, record, options = {}) {
    count += 1;
    this.id = `i-${(0x7f3a91c2 + count).toString(16)}`;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
    this.slots = options.slots ?? 6;
    this.workMs = options.workMs ?? 20;
    this.respond = options.respond;
    this.host = nextHost();
  }

  async start() {
    this.born = Date.now();
    this.server = createServer((request, response) => {
      request.on('error', () => undefined);
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.register();
  }

  /** What the engine writes in the store. */
  get entry() {
    return {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 0,
      born: this.born,
    };
  }

  register() {
    this.store.write(`servers/${this.id}`, this.entry);
  }

  async handle(request, response) {
    const { headers } = request;
    const requestId = headers['laburnumstream-request-id'];
    const echo = requestId === undefined ? {} : { 'Laburnumstream-Request-Id': requestId };
    const expected = headers['laburnumstream-expect-instance'];
    const own = { 'Laburnumstream-Instance-Id': this.id };
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...echo, ...own, 'content-length': 0 });
      response.end();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { ...own, 'content-length': 0 });
      response.end();
      return;
    }
    const body = await readBytes(request);
    if (this.active >= this.slots * 2) {
      response.writeHead(503, { ...echo, 'Laburnumstream-Not-Executed': 1, 'content-length': 0 });
      response.end();
      return;
    }
    this.active += 1;
    this.record(this.id, `runs ${requestId} of ${this.service}: ${request.method} ${request.url}`, {
      ran: requestId,
      service: this.service,
      headers,
      body,
    });
    await new Promise((resolve) => {
      setTimeout(resolve, this.workMs);
    });
    this.active -= 1;
    const seal = { 'Laburnumstream-Server-Seal': `seal.${this.id}.${requestId}` };
    const head = { ...echo, ...seal };
    if (this.respond) {
      await this.respond(this, request, response, head);
      return;
    }
    const text = `answer of ${this.service} to ${requestId}`;
    response.writeHead(200, { ...head, 'content-length': Buffer.byteLength(text) });
    response.end(text);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
