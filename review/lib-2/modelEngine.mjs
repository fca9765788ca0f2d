// A model engine beside its side machine, as far as PROTOCOL.md describes it and agents call it.
import { createServer } from 'node:http';
import { layers, listen, model, sendJson } from './weights.mjs';

const loadMs = 300;
const tickMs = 10;
const msPerSecond = 1_000;
/** A chunk of one byte. */
const smallChunk = '1\r\nx\r\n';

/** A model engine. In trouble, its list of staged pieces comes in chunks of one byte, without end. */
export class ModelEngine {
  constructor(id, bytesPerSecond, record) {
    this.id = id;
    this.isInTrouble = false;
    this.record = record;
    this.version = 1;
    this.orders = 0;
    this.staged = new Map();
    this.block = Buffer.from(
      smallChunk.repeat(Math.floor((bytesPerSecond * tickMs) / msPerSecond / smallChunk.length)),
    );
    this.server = createServer((request, response) => this.receive(request, response));
  }

  async listen(host) {
    this.address = await listen(this.server, host);
    return this;
  }

  /** From now on, its list of staged pieces has no end. */
  beginTrouble() {
    this.isInTrouble = true;
  }

  registration(service, zone) {
    const held = { From: 0, To: layers, Version: this.version };
    const rest = {
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      Stage: 'hybrid',
      born: 1_700_000_000_000,
    };
    const Models = [{ Name: model, Version: this.version, Adapters: [] }];
    const place = { Service: service, Address: this.address, Zone: zone, Slots: 16 };
    return { ...place, Version: 'v1', Models, layers: held, ...rest };
  }

  receive(request, response) {
    const parts = [];
    request.on('data', (bytes) => parts.push(bytes));
    request.on('end', () => this.answer(request, response, Buffer.concat(parts)));
  }

  answer({ url, method, socket }, response, body) {
    const { pathname, searchParams } = new URL(url, 'http://engine');
    const number = searchParams.get('Num');
    if (pathname === '/-/report') return sendJson(response, 200, this.report());
    if (pathname === '/-/order') return this.order(response, JSON.parse(body.toString()));
    if (method === 'PUT') {
      this.staged.set(Number(number), body);
      return sendJson(response, 200, {});
    }
    if (number !== null) {
      const piece = this.staged.get(Number(number));
      return piece ? response.end(piece) : sendJson(response, 404, {});
    }
    this.record(`${this.id} is asked for the list of its staged pieces`);
    if (!this.isInTrouble) return sendJson(response, 200, { held: [...this.staged.keys()] });
    return this.sendWithoutEnd(socket);
  }

  report() {
    const own = {
      Stage: 'hybrid',
      Busy: false,
      Seq: this.orders,
      Queued: 0,
      Active: 0,
      Handles: 0,
    };
    const Models = [{ Name: model, Version: this.version, Adapters: [] }];
    const held = { From: 0, To: layers, Version: this.version };
    return {
      ...own,
      Models,
      KvUsed: 0,
      KvTotal: 685_000,
      pace: 1,
      layers: held,
      born: 1_700_000_000_000,
    };
  }

  order(response, { Version }) {
    this.orders += 1;
    this.record(`${this.id} is ordered to load version ${Version}`);
    setTimeout(() => {
      this.version = Version;
    }, loadMs);
    return sendJson(response, 202, {});
  }

  sendWithoutEnd(socket) {
    socket.on('error', () => undefined);
    const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    const timer = setInterval(() => {
      if (socket.destroyed) clearInterval(timer);
      else if (socket.writableLength === 0) socket.write(this.block);
    }, tickMs);
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
