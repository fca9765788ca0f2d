import { InvalidInput, NotFound, Unavailable, createTimeoutSignal } from '@laburnumstream/common';
import { createConnector, openResponse, readResponseBody } from '@laburnumstream/runtime';
import { Pool } from 'undici';
import type { PieceManifest } from './localEngine.js';
import { PieceStatus } from './pieceServer.js';

/** Maximum number of connections to one agent. */
const maxConnections = 2;
const connectTimeoutMs = 700;
/** Timeout of a request for a manifest, in milliseconds; requests for pieces are aborted by the caller. */
const manifestTimeoutMs = 1_000;
/** Maximum size of a response's body, in bytes: the largest is a manifest, or a piece. */
const maxBodyBytes = 8_388_608;
/** Delay before a busy agent is asked again, in milliseconds. */
const busyRetryMs = 30;

/** Largest number of pieces of a version. */
const maxPieces = 100_000;
const digestPattern = /^[0-9a-f]{64}$/;

function isDigest(value: unknown): boolean {
  return typeof value === 'string' && digestPattern.test(value);
}

function isManifest(value: unknown): value is PieceManifest {
  const { model, version, digests } = (value ?? {}) as Partial<PieceManifest>;
  return (
    typeof model === 'string' &&
    Number.isSafeInteger(version) &&
    Array.isArray(digests) &&
    digests.length > 0 &&
    digests.length <= maxPieces &&
    digests.every(isDigest)
  );
}

function parseManifest(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
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
    const limit = createTimeoutSignal(manifestTimeoutMs, signal);
    const body = await this.read(host, `/weights/${version}/manifest`, limit);
    const value = parseManifest(body);
    if (isManifest(value) && value.version === version) return value;
    throw new InvalidInput(`${host} sent an invalid manifest.`);
  }

  /** Throws `NotFound` when the agent does not hold the piece and `Unavailable` when it is busy. */
  getPiece(host: string, version: number, piece: number, signal: AbortSignal): Promise<Uint8Array> {
    return this.read(host, `/weights/${version}/${piece}`, signal);
  }

  /** Closes the connections to all other hosts, each once its running requests have ended. */
  retainHosts(hosts: ReadonlySet<string>): void {
    this.pools.forEach((pool, host) => {
      if (hosts.has(host)) return;
      this.pools.delete(host);
      void pool.close();
    });
  }

  private async read(host: string, path: string, signal: AbortSignal): Promise<Uint8Array> {
    const options = { method: 'GET', path } as const;
    const { status, body } = await openResponse(this.getPool(host), options, signal);
    const bytes = await readResponseBody(body, maxBodyBytes);
    if (status === PieceStatus.ok) return bytes;
    if (status === PieceStatus.notHeld) throw new NotFound(`${host} does not hold ${path}.`);
    throw new Unavailable(`${host} responded with status ${status}.`, busyRetryMs);
  }

  private getPool(host: string): Pool {
    let pool = this.pools.get(host);
    if (!pool) {
      pool = new Pool(`http://${host}:${this.port}`, {
        connections: maxConnections,
        connect: createConnector(connectTimeoutMs),
      });
      this.pools.set(host, pool);
    }
    return pool;
  }
}
