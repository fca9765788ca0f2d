// A stand-in for the origin of weights, as PROTOCOL.md describes it.
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { chunkBytes, chunks, layers, listen, model, pieceOf, send } from './model.mjs';
import { nextHost } from './programs.mjs';

const sha256 = (bytes) => createHash('sha256').update(bytes).digest('hex');

/** The origin of the weights; it knows all versions up to the newest. */
export class Origin {
  constructor(newest = 1) {
    this.newest = newest;
    this.host = nextHost();
  }

  async start() {
    this.server = createServer((request, response) => this.handle(request, response));
    await listen(this.server, this.host, 0);
    this.address = `${this.host}:${this.server.address().port}`;
  }

  handle(request, response) {
    const url = new URL(request.url, 'http://origin');
    const version = Number(url.searchParams.get('Version') ?? this.newest);
    if (version > this.newest || version < this.newest - 1) {
      send(response, 410);
      return;
    }
    const number = Number(url.searchParams.get('Num'));
    if (url.pathname === `/-/piece/${model}`) send(response, 200, pieceOf(version, number));
    else {
      const Digests = Array.from({ length: chunks }, (_, at) => sha256(pieceOf(version, at)));
      const manifest = { Model: model, Version: version, ChunkBytes: chunkBytes, layers, Digests };
      send(response, 200, JSON.stringify(manifest));
    }
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
