import { NotFound, Unavailable } from '@laburnumstream/common';
import type { Instance, Manifest } from '@laburnumstream/common';
import { Topology, defaultTransferLimits } from '@laburnumstream/decisions';
import { HttpClient } from '@laburnumstream/clients';

/** Time for which a peer may wait for something that it does not hold yet, in milliseconds. */
const waitMs = 1_000;
const timeoutMs = defaultTransferLimits.maxTimeoutMs;
const retryAfterMs = 50;
/** Connections to one peer. */
const connections = 32;

interface Known {
  readonly list: readonly Instance[];
  readonly topology: Topology;
}

/** The other agents that hold or receive the same weights. */
export class WeightPeers {
  private readonly clients = new Map<string, HttpClient>();

  private readonly known = new Map<string, Known>();

  constructor(
    readonly self: Instance,
    private readonly originRegion: string,
    private readonly list: () => readonly Instance[],
  ) {}

  /** Who takes part in a transfer, this instance included; the same object while the list is. */
  topology(digest: string): Topology {
    const list = this.list();
    const known = this.known.get(digest);
    if (known && sameMembers(known.list, list)) return known.topology;
    const others = list.filter(({ name }) => name !== this.self.name);
    const topology = new Topology(digest, [...others, this.self], this.originRegion);
    this.known.set(digest, { list, topology });
    return topology;
  }

  /** Forgets the order of a version that is no longer held. */
  forget(digest: string): void {
    this.known.delete(digest);
  }

  async manifest(peer: Instance, digest: string, signal: AbortSignal): Promise<Manifest> {
    const body = await this.read(peer, `/weights/${digest}/manifest?waitMs=${waitMs}`, signal);
    return JSON.parse(body.toString()) as Manifest;
  }

  chunk(peer: Instance, digest: string, index: number, signal: AbortSignal): Promise<Uint8Array> {
    const query = `waitMs=${waitMs}&by=${this.self.name}`;
    return this.read(peer, `/weights/${digest}/chunks/${index}?${query}`, signal);
  }

  private async read(peer: Instance, path: string, signal: AbortSignal): Promise<Buffer> {
    const { status, body } = await this.clientOf(peer).send({ method: 'GET', path, signal });
    if (status === 404) throw new NotFound(`${peer.name} does not hold it yet.`);
    if (status !== 200) throw new Unavailable(`${peer.name} answered ${status}.`, retryAfterMs);
    return body;
  }

  private clientOf(peer: Instance): HttpClient {
    const address = peer.weightsAddress ?? peer.address;
    const failure = (message: string, cause: unknown) =>
      new Unavailable(message, retryAfterMs, cause);
    const client =
      this.clients.get(address) ?? new HttpClient(address, timeoutMs, failure, connections);
    this.clients.set(address, client);
    return client;
  }
}

function sameMembers(a: readonly Instance[], b: readonly Instance[]): boolean {
  if (a === b) return true;
  if (a.length !== b.length) return false;
  return a.every(
    ({ name, weightsAddress }, index) =>
      name === b[index]!.name && weightsAddress === b[index]!.weightsAddress,
  );
}
