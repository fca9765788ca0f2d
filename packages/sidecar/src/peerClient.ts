import { InvalidInput, NotFound, Unavailable } from '@laburnumstream/common';
import { createConnector } from '@laburnumstream/runtime';
import { Pool } from 'undici';
import type { PieceManifest } from './localEngine.js';
import { PieceStatus } from './pieceServer.js';

/** Connections to one other agent. */
const connections = 2;
const connectTimeoutMs = 700;
const busyMs = 30;

function isManifest(value: unknown): value is PieceManifest {
  const { model, version, digests } = value as Partial<PieceManifest>;
  return typeof model === 'string' && typeof version === 'number' && Array.isArray(digests);
}

/** Takes pieces and manifests from other agents. */
export class PeerClient {
  private readonly pools = new Map<string, Pool>();

  constructor(
    /** Port at which all agents give pieces. */
    private readonly port: number,
  ) {}

  /** Throws `NotFound` when the agent does not have it. */
  async manifest(host: string, version: number, signal: AbortSignal): Promise<PieceManifest> {
    const body = await this.read(host, `/weights/${version}/manifest`, signal);
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
    if (isManifest(value)) return value;
    throw new InvalidInput(`${host} sent no manifest.`);
  }

  /** Throws `NotFound` when the agent does not have it, `Unavailable` when it is busy. */
  piece(host: string, version: number, piece: number, signal: AbortSignal): Promise<Uint8Array> {
    return this.read(host, `/weights/${version}/${piece}`, signal);
  }

  /** Forgets agents that are gone. */
  keepOnly(hosts: ReadonlySet<string>): void {
    this.pools.forEach((pool, host) => {
      if (hosts.has(host)) return;
      this.pools.delete(host);
      void pool.destroy();
    });
  }

  private async read(host: string, path: string, signal: AbortSignal): Promise<Uint8Array> {
    const { statusCode, body } = await this.poolOf(host).request({ method: 'GET', path, signal });
    const bytes = new Uint8Array(await body.arrayBuffer());
    if (statusCode === PieceStatus.ok) return bytes;
    if (statusCode === PieceStatus.notHeld) throw new NotFound(`${host} does not hold ${path}.`);
    throw new Unavailable(`${host} answered ${statusCode}.`, busyMs);
  }

  private poolOf(host: string): Pool {
    let pool = this.pools.get(host);
    if (!pool) {
      const options = { connections, connect: createConnector(connectTimeoutMs) };
      pool = new Pool(`http://${host}:${this.port}`, options);
      this.pools.set(host, pool);
    }
    return pool;
  }
}
