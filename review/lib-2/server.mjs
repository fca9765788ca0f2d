// A server of a plain service as PROTOCOL.md describes it: it runs `slots` requests at once and turns others away.
import { createServer } from 'node:http';

const usualWorkMs = 20;
/** Requests with this path take `depositMs`. */
const depositPath = '/deposit/';

export class PlainServer {
  constructor(
    id,
    { slots = 6, depositMs = usualWorkMs, record = () => undefined, onRun = () => undefined } = {},
  ) {
    this.id = id;
    this.slots = slots;
    this.depositMs = depositMs;
    this.record = record;
    this.onRun = onRun;
    this.active = 0;
    this.server = createServer((request, response) => this.receive(request, response));
  }

  listen(host = '127.0.0.1') {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, host, () => {
        this.address = `${host}:${this.server.address().port}`;
        resolve(this);
      });
    });
  }

  /** The entry of the server in the store. */
  registration(service, zone, seq = 1) {
    const { address: Address, slots: Slots } = this;
    const rest = { Version: 'v1', State: 'ready', ColdLeftMs: 0, born: 1_700_000_000_000 };
    return { Service: service, Address, Zone: zone, Slots, Seq: seq, ...rest };
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (bytes) => chunks.push(bytes));
    request.on('end', () => this.handle(request, response, Buffer.concat(chunks)));
    request.on('error', () => undefined);
  }

  handle(request, response, body) {
    const id = request.headers['laburnumstream-request-id'];
    const expected = request.headers['laburnumstream-expect-instance'];
    const load = `${this.active},0,${this.slots}`;
    const base = { 'laburnumstream-engine-load': load };
    if (id !== undefined) base['laburnumstream-request-id'] = id;
    const refuse = (status) => {
      const own = { 'laburnumstream-instance-id': this.id, 'laburnumstream-not-executed': '1' };
      response.writeHead(status, { ...base, ...own, 'content-length': 0 });
      response.end();
    };
    if (expected !== undefined && expected !== this.id) return refuse(421);
    if (request.url === '/health') {
      response.writeHead(200, { 'laburnumstream-instance-id': this.id, 'content-length': 0 });
      return response.end();
    }
    if (id === undefined) return refuse(400);
    if (this.active >= this.slots) return refuse(503);
    this.active += 1;
    this.onRun(id);
    this.record(`run ${id} at ${this.id} ${request.method} ${request.url} ${body.length} bytes`);
    setTimeout(
      () => {
        this.active -= 1;
        const text = `answer to ${id} `.padEnd(800, '.');
        const head = { ...base, 'laburnumstream-server-seal': `seal.${this.id}` };
        response.writeHead(200, { ...head, 'content-length': text.length });
        response.end(text);
      },
      request.url.startsWith(depositPath) ? this.depositMs : usualWorkMs,
    );
    return undefined;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
