import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { makeContent } from '@laburnumstream/standins';
import { soakModel } from './shape.js';

const { name: model, pieces, pieceBytes } = soakModel;

/** The right bytes of a piece. */
export function pieceOf(version: number, piece: number): Buffer {
  const content = makeContent(model, String(version), pieces * pieceBytes);
  return content.subarray(piece * pieceBytes, (piece + 1) * pieceBytes);
}

function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** The origin of weights as the users' platform has it. */
export class SoakOrigin {
  /** Share of pieces that are sent corrupt. */
  corrupts = 0;

  private sent = 0;

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      const { pathname, searchParams } = new URL(request.url ?? '/', 'http://origin');
      const version = Number(searchParams.get('Version'));
      if (pathname.startsWith('/-/manifest/')) {
        const Digests = Array.from({ length: pieces }, (_, piece) =>
          digestOf(pieceOf(version, piece)),
        );
        response.end(JSON.stringify({ Model: model, Version: version, Digests }));
      } else response.end(this.send(pieceOf(version, Number(searchParams.get('Num')))));
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

  private send(bytes: Buffer): Buffer {
    this.sent += 1;
    const isCorrupt = this.corrupts > 0 && this.sent % Math.round(1 / this.corrupts) === 0;
    return isCorrupt ? Buffer.from('corrupt') : bytes;
  }
}
