import { NotFound, Unavailable } from '@laburnumstream/common';
import type { Instance, Manifest } from '@laburnumstream/common';
import { Topology, defaultTransferLimits } from '@laburnumstream/decisions';
import { HttpClient } from '@laburnumstream/clients';

/** Time for which a peer may wait for data that it does not hold yet, in milliseconds. */
const longPollMs = 1_000;
const timeoutMs = defaultTransferLimits.maxTimeoutMs;
const retryAfterMs = 50;
/** Maximum connections to one peer. */
const maxConnections = 32;

interface CachedTopology {
  readonly instances: readonly Instance[];
  readonly topology: Topology;
}

/** Client of the other agents that hold or receive the same weights. */
export class WeightPeers {
  private readonly clients = new Map<string, HttpClient>();

  private readonly topologies = new Map<string, CachedTopology>();

  constructor(
    readonly self: Instance,
    private readonly originRegion: string,
    private readonly listInstances: () => readonly Instance[],
  ) {}

  /**
   * Members of a transfer, including this instance; the same object while the instances stay the
   * same.
   */
  topology(digest: string): Topology {
    const instances = this.listInstances();
    const cached = this.topologies.get(digest);
    if (cached && hasSameMembers(cached.instances, instances)) return cached.topology;
    const others = instances.filter(({ name }) => name !== this.self.name);
    const topology = new Topology(digest, [...others, this.self], this.originRegion);
    this.topologies.set(digest, { instances, topology });
    return topology;
  }

  /** Drops the cached topology of a version that is no longer held. */
  forget(digest: string): void {
    this.topologies.delete(digest);
  }

  async manifest(peer: Instance, digest: string, signal: AbortSignal): Promise<Manifest> {
    const body = await this.get(peer, `/weights/${digest}/manifest?waitMs=${longPollMs}`, signal);
    return JSON.parse(body.toString()) as Manifest;
  }

  chunk(peer: Instance, digest: string, index: number, signal: AbortSignal): Promise<Uint8Array> {
    const query = `waitMs=${longPollMs}&by=${this.self.name}`;
    return this.get(peer, `/weights/${digest}/chunks/${index}?${query}`, signal);
  }

  private async get(peer: Instance, path: string, signal: AbortSignal): Promise<Buffer> {
    const { status, body } = await this.getClient(peer).send({ method: 'GET', path, signal });
    if (status === 404) throw new NotFound(`${peer.name} does not hold it yet.`);
    if (status !== 200) throw new Unavailable(`${peer.name} answered ${status}.`, retryAfterMs);
    return body;
  }

  private getClient(peer: Instance): HttpClient {
    const address = peer.weightsAddress ?? peer.address;
    const makeFailure = (message: string, cause: unknown) =>
      new Unavailable(message, retryAfterMs, cause);
    const client =
      this.clients.get(address) ?? new HttpClient(address, timeoutMs, makeFailure, maxConnections);
    this.clients.set(address, client);
    return client;
  }
}

function hasSameMembers(a: readonly Instance[], b: readonly Instance[]): boolean {
  if (a === b) return true;
  if (a.length !== b.length) return false;
  return a.every(
    ({ name, weightsAddress }, index) =>
      name === b[index]!.name && weightsAddress === b[index]!.weightsAddress,
  );
}
