import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { Log, Metrics } from '@laburnumstream/common';
import type { Uplink } from './uplink.js';
import type { VersionCache } from './versionCache.js';

/** HTTP statuses with which agents respond to each other. */
export const PieceStatus = { ok: 200, notHeld: 404, busy: 503 } as const;

const pathPattern = /^\/weights\/(\d+)\/(manifest|\d+)$/;

function sendEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-length': '0' });
  response.end();
}

/**
 * Serves held pieces and manifests to other agents, as `/weights/VERSION/PIECE` and
 * `/weights/VERSION/manifest`.
 */
export class PieceServer {
  private readonly server = createServer((request, response) => {
    this.handle(request, response).catch((error: unknown) => {
      this.log.debug('Piece not sent.', { reason: String(error) });
      response.destroy();
    });
  });

  /** Requests whose responses have not been sent in full. */
  private running = 0;

  private isDraining = false;

  constructor(
    private readonly versions: VersionCache,
    private readonly uplink: Uplink,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Listens until the signal fires; resolves when the socket is bound. */
  listen(host: string, port: number, signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => {
      this.server.close();
      this.server.closeAllConnections();
    });
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Whether a response is under way. */
  get isSending(): boolean {
    return this.running > 0;
  }

  /** Refuses further requests, so that other agents ask elsewhere. */
  startDraining(): void {
    this.isDraining = true;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    if (this.isDraining) {
      response.setHeader('connection', 'close');
      sendEmpty(response, PieceStatus.busy);
      return;
    }
    const [, version = '', part = ''] = pathPattern.exec(request.url ?? '') ?? [];
    const held = this.versions.get(Number(version));
    if (!held) {
      sendEmpty(response, PieceStatus.notHeld);
      return;
    }
    if (part === 'manifest') {
      const body = JSON.stringify(held.manifest);
      response.writeHead(PieceStatus.ok, { 'content-length': Buffer.byteLength(body) });
      response.end(body);
      return;
    }
    const bytes = held.pieces[Number(part)];
    if (!bytes) sendEmpty(response, PieceStatus.notHeld);
    else if (!this.uplink.tryStart()) sendEmpty(response, PieceStatus.busy);
    else await this.sendPiece(bytes, response);
  }

  private async sendPiece(bytes: Uint8Array, response: ServerResponse): Promise<void> {
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    try {
      response.writeHead(PieceStatus.ok, { 'content-length': bytes.length });
      await this.uplink.send(bytes, async (slice) => {
        closed.signal.throwIfAborted();
        if (!response.write(slice)) await once(response, 'drain', { signal: closed.signal });
      });
      response.end();
      this.metrics.count('pieces_sent');
    } finally {
      this.uplink.end();
    }
  }
}
