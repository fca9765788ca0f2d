// The origin of weights, as PROTOCOL.md describes it.
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { layers, listen, model, pieceBytes, pieces, sendJson } from './weights.mjs';

function createPiece(version, number) {
  return Buffer.alloc(pieceBytes, `${version}/${number};`);
}

/** The origin: sends digests and pieces of any version. */
export class Origin {
  constructor(record) {
    this.server = createServer((request, response) => {
      const url = new URL(request.url, 'http://origin');
      const version = Number(url.searchParams.get('Version'));
      if (url.pathname.startsWith('/-/manifest/')) {
        record(`the origin sends the digests of version ${version}`);
        const Digests = Array.from({ length: pieces }, (_, number) =>
          createHash('sha256').update(createPiece(version, number)).digest('hex'),
        );
        sendJson(response, 200, {
          Model: model,
          Version: version,
          ChunkBytes: pieceBytes,
          layers,
          Digests,
        });
        return;
      }
      response.end(createPiece(version, Number(url.searchParams.get('Num'))));
    });
  }

  async listen() {
    this.address = await listen(this.server, '127.0.0.1');
    return this;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
