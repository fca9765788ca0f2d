import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const headEnd = '\r\n\r\n';
const events = 12;
const eventMs = 50;
/** Bytes that the server in trouble sends each 10 ms, on all connections together. */
const tickMs = 10;
const msPerSecond = 1_000;

/** A server of streams. It is sound, or it sends empty lines without end in the body until the caller closes. */
export class StreamServer {
  constructor(id, { isInTrouble, bytesPerSecond }, record) {
    this.id = id;
    this.isInTrouble = isInTrouble;
    this.record = record;
    this.sockets = new Set();
    /** Connections on which bytes go on without end. */
    this.endless = new Set();
    this.bytesPerTick = (bytesPerSecond * tickMs) / msPerSecond;
    this.sentBytes = 0;
    this.server = createServer((socket) => this.accept(socket));
  }

  listen() {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.timer = setInterval(() => this.sendMore(), tickMs);
        resolve(this);
      });
    });
  }

  registration(service, zone) {
    const rest = { Version: 'v1', State: 'ready', ColdLeftMs: 0, Seq: 1, born: 1_700_000_000_000 };
    return { Service: service, Address: this.address, Zone: zone, Slots: 16, ...rest };
  }

  accept(socket) {
    let request = '';
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.endless.delete(socket);
    });
    socket.on('data', (bytes) => {
      request += bytes.toString('latin1');
      if (!request.includes(headEnd)) return;
      const id = /^laburnumstream-request-id: *(\S+)/im.exec(request)?.[1] ?? '';
      request = '';
      this.record(`run ${id} at ${this.id}`);
      void this.answer(socket, id);
    });
  }

  async answer(socket, id) {
    const head = [
      'HTTP/1.1 200 OK',
      'Content-Type: text/event-stream',
      `Laburnumstream-Request-Id: ${id}`,
      `Laburnumstream-Server-Seal: seal.${this.id}`,
      'Connection: close',
    ];
    socket.write(head.join('\r\n') + headEnd);
    if (this.isInTrouble) {
      this.endless.add(socket);
      return;
    }
    for (let number = 1; number <= events && !socket.destroyed; number += 1) {
      socket.write(`id: ${number}\ndata: token ${number}\n\n`);
      await sleep(eventMs);
    }
    socket.end();
  }

  /** Sends what the link of the server carries in one tick to the callers that take it. */
  sendMore() {
    const ready = [...this.endless].filter(({ writableLength }) => writableLength === 0);
    const block = Buffer.alloc(Math.floor(this.bytesPerTick / Math.max(1, ready.length)), '\n');
    ready.forEach((socket) => socket.write(block));
    this.sentBytes += block.length * ready.length;
  }

  close() {
    clearInterval(this.timer);
    this.record(`${this.id} sent ${this.sentBytes} bytes without end`);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
