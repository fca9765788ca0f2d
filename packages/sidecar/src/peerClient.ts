import { InvalidInput, NotFound, ResponseTooLarge, Unavailable } from '@laburnumstream/common';
import { createConnector, createInterimLimit } from '@laburnumstream/runtime';
import { Pool } from 'undici';
import type { PieceManifest } from './localEngine.js';
import { PieceStatus } from './pieceServer.js';

/** Maximum number of connections to one agent. */
const maxConnections = 2;
const connectTimeoutMs = 700;
/** Maximum size of a response's body, in bytes: the largest is a manifest, or a piece. */
const maxBodyBytes = 8_388_608;
/** Error code of undici for a body that exceeds its bound. */
const bodyOverflowCode = 'UND_ERR_RES_EXCEEDED_MAX_SIZE';
/** Delay before a busy agent is asked again, in milliseconds. */
const busyRetryMs = 30;

function isManifest(value: unknown): value is PieceManifest {
  const { model, version, digests } = value as Partial<PieceManifest>;
  return typeof model === 'string' && typeof version === 'number' && Array.isArray(digests);
}

function toReadFailure(error: unknown): unknown {
  if ((error as { code?: string }).code !== bodyOverflowCode) return error;
  return new ResponseTooLarge(`its body has more than ${maxBodyBytes} bytes`, error);
}

/** HTTP client for the pieces and manifests of other agents. */
export class PeerClient {
  private readonly pools = new Map<string, Pool>();

  constructor(
    /** Port of the piece server, the same on all agents. */
    private readonly port: number,
  ) {}

  /** Throws `NotFound` when the agent does not hold the version. */
  async getManifest(host: string, version: number, signal: AbortSignal): Promise<PieceManifest> {
    const body = await this.read(host, `/weights/${version}/manifest`, signal);
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
    if (isManifest(value)) return value;
    throw new InvalidInput(`${host} sent an invalid manifest.`);
  }

  /** Throws `NotFound` when the agent does not hold the piece and `Unavailable` when it is busy. */
  getPiece(host: string, version: number, piece: number, signal: AbortSignal): Promise<Uint8Array> {
    return this.read(host, `/weights/${version}/${piece}`, signal);
  }

  /** Closes the connections to all other hosts. */
  retainHosts(hosts: ReadonlySet<string>): void {
    this.pools.forEach((pool, host) => {
      if (hosts.has(host)) return;
      this.pools.delete(host);
      void pool.destroy();
    });
  }

  private async read(host: string, path: string, signal: AbortSignal): Promise<Uint8Array> {
    const options = { method: 'GET', path, signal, onInfo: createInterimLimit() } as const;
    const { statusCode, body } = await this.getPool(host).request(options);
    const bytes = await body.arrayBuffer().catch((error: unknown) => {
      throw toReadFailure(error);
    });
    if (statusCode === PieceStatus.ok) return new Uint8Array(bytes);
    if (statusCode === PieceStatus.notHeld) throw new NotFound(`${host} does not hold ${path}.`);
    throw new Unavailable(`${host} responded with status ${statusCode}.`, busyRetryMs);
  }

  private getPool(host: string): Pool {
    let pool = this.pools.get(host);
    if (!pool) {
      pool = new Pool(`http://${host}:${this.port}`, {
        connections: maxConnections,
        connect: createConnector(connectTimeoutMs),
        maxResponseSize: maxBodyBytes,
      });
      this.pools.set(host, pool);
    }
    return pool;
  }
}
