import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { makeContent } from '@laburnumstream/standins';
import { soakModel } from './shape.js';

const { name: model, pieces, pieceBytes } = soakModel;

/** Builds the correct bytes of a piece. */
export function buildPiece(version: number, piece: number): Buffer {
  const content = makeContent(model, String(version), pieces * pieceBytes);
  return content.subarray(piece * pieceBytes, (piece + 1) * pieceBytes);
}

function computeDigest(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** A stand-in for the origin of weights on the users' platform. */
export class SoakOrigin {
  /** Share of pieces to corrupt, from 0 to 1. */
  corruptShare = 0;

  private sentPieces = 0;

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      const { pathname, searchParams } = new URL(request.url ?? '/', 'http://origin');
      const version = Number(searchParams.get('Version'));
      if (pathname.startsWith('/-/manifest/')) {
        const Digests = Array.from({ length: pieces }, (_, piece) =>
          computeDigest(buildPiece(version, piece)),
        );
        response.end(JSON.stringify({ Model: model, Version: version, Digests }));
      } else response.end(this.corruptSome(buildPiece(version, Number(searchParams.get('Num')))));
    });
  }

  /** IP:PORT */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve());
    });
    return this;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private corruptSome(bytes: Buffer): Buffer {
    this.sentPieces += 1;
    const isCorrupt =
      this.corruptShare > 0 && this.sentPieces % Math.round(1 / this.corruptShare) === 0;
    return isCorrupt ? Buffer.from('corrupt') : bytes;
  }
}
