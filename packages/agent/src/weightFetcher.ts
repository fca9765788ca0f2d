import { createHash } from 'node:crypto';
import { setImmediate as yieldToOthers } from 'node:timers/promises';
import { Corrupted, toFailure } from '@laburnumstream/common';
import type { Clock, Instance, Log, Manifest, Metrics, WeightOrigin } from '@laburnumstream/common';
import {
  FetchFault,
  Transfer,
  validateManifest,
  manifestDigest,
  origin,
  sourceName,
  sourceOrders,
  defaultTransferLimits,
} from '@laburnumstream/decisions';
import type {
  ChunkFetch,
  SourceOrder,
  Topology,
  TransferLimits,
  WeightSource,
} from '@laburnumstream/decisions';
import { sha256 } from '@laburnumstream/runtime';
import type { WeightPeers } from './weightPeers.js';
import type { Pace } from './pace.js';
import type { HeldVersion, WeightStore } from './weightStore.js';

const checkMs = 100;
const manifestRetryMs = 300;

const faultOf: Readonly<Record<string, FetchFault>> = {
  not_found: FetchFault.notYet,
  corrupted: FetchFault.corrupt,
};

/** Names the version to fetch. */
export interface WantedVersion {
  readonly model: string;
  readonly version: string;
  readonly digest: string;
}

/** What a fetcher reads weights from. */
export interface WeightRoutes {
  readonly origin: WeightOrigin;
  readonly peers: WeightPeers;
  /** Paces what this instance receives. */
  readonly receiving: Pace;
  readonly order?: SourceOrder;
  readonly limits?: TransferLimits;
}

/** Fetches versions of weights from peers and the origin, and verifies every chunk and the whole. */
export class WeightFetcher {
  constructor(
    private readonly routes: WeightRoutes,
    private readonly store: WeightStore,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Fetches a version whole; ends only with it, when the signal fires, or when it is corrupt. */
  async fetch(wanted: WantedVersion, signal: AbortSignal): Promise<HeldVersion> {
    const manifest =
      this.store.find(wanted.digest)?.manifest ?? (await this.manifest(wanted, signal));
    const version = this.store.open(wanted.digest, manifest);
    if (version.isVerified) return version;
    await this.fetchChunks(version, signal);
    await this.verifyWhole(version);
    return version;
  }

  /** Takes the manifest the way of chunk 0, so that the origin is asked for it about once. */
  private async manifest(wanted: WantedVersion, signal: AbortSignal): Promise<Manifest> {
    for (;;) {
      const { peers } = this.routes;
      const order = sourceOrders.trees(peers.topology(wanted.digest), peers.self, 0);
      for (const source of order) {
        const manifest = await this.tryManifest(source, wanted, signal);
        if (manifest) return manifest;
      }
      await this.clock.sleep(manifestRetryMs, signal);
    }
  }

  private async tryManifest(
    source: WeightSource,
    wanted: WantedVersion,
    signal: AbortSignal,
  ): Promise<Manifest | undefined> {
    const { model, version, digest } = wanted;
    try {
      const manifest =
        source === origin
          ? await this.routes.origin.manifest(model, version, signal)
          : validateManifest(await this.routes.peers.manifest(source as Instance, digest, signal));
      if (manifestDigest(manifest, sha256) === digest) return manifest;
      this.metrics.count('weight_manifests_of_other_versions');
      this.log.warn('The source has another manifest.', { model, source: sourceName(source) });
    } catch (error) {
      this.log.debug('No manifest.', { type: toFailure(error).type, source: sourceName(source) });
    }
    signal.throwIfAborted();
    return undefined;
  }

  private async fetchChunks(version: HeldVersion, signal: AbortSignal): Promise<void> {
    const { digest, manifest } = version;
    const { peers, order = sourceOrders.trees, limits = defaultTransferLimits } = this.routes;
    let topology: Topology = peers.topology(digest);
    const transfer = new Transfer(manifest.chunks.length, peers.self, topology, order, limits);
    version.chunks.forEach((chunk, index) => chunk && transfer.markHeld(index));
    const ended = new AbortController();
    const limit = AbortSignal.any([signal, ended.signal]);
    const running = new Map<ChunkFetch, AbortController>();
    const launch = (fetches: readonly ChunkFetch[]): void =>
      fetches.forEach((fetch) => {
        const onward = (): void => {
          if (!limit.aborted) launch(transfer.startFetches(this.clock.now()));
        };
        const useless = new AbortController();
        running.set(fetch, useless);
        const ending = AbortSignal.any([limit, useless.signal]);
        void this.run(fetch, version, transfer, ending).then((superseded) => {
          superseded.forEach((other) => running.get(other)?.abort());
          running.delete(fetch);
          onward();
        });
      });
    try {
      launch(transfer.startFetches(this.clock.now()));
      while (!transfer.isComplete) {
        await this.clock.sleep(checkMs, signal);
        const latest = peers.topology(digest);
        if (latest !== topology) transfer.updateTopology(latest);
        topology = latest;
        launch(transfer.hedgeFetches(this.clock.now()));
      }
    } finally {
      ended.abort();
    }
  }

  private async run(
    fetch: ChunkFetch,
    version: HeldVersion,
    transfer: Transfer,
    signal: AbortSignal,
  ): Promise<readonly ChunkFetch[]> {
    const { chunk, source } = fetch;
    try {
      const bytes = await this.read(source, version, chunk, signal);
      await this.routes.receiving.take(bytes.byteLength);
      if (sha256(bytes) !== version.manifest.chunks[chunk]) {
        throw new Corrupted(`Chunk ${chunk} does not match its digest.`);
      }
      this.store.put(version.digest, chunk, bytes);
      const superseded = transfer.fetchSucceeded(fetch, this.clock.now());
      this.metrics.count(
        source === origin ? 'weight_chunks_from_origin' : 'weight_chunks_from_peers',
      );
      return superseded;
    } catch (error) {
      if (signal.aborted) return [];
      const { type } = toFailure(error);
      const fault = faultOf[type] ?? FetchFault.unreachable;
      this.metrics.count(`weight_faults_${fault}`);
      this.log.debug('Chunk not fetched.', { chunk, fault, type, source: sourceName(source) });
      if (fault === FetchFault.corrupt) {
        this.metrics.count('weight_chunks_corrupt');
        this.log.warn('Corrupt chunk.', { chunk, source: sourceName(source) });
      }
      if (source === origin) await this.clock.sleep(checkMs, signal).catch(() => undefined);
      transfer.fetchFailed(fetch, fault, this.clock.now());
      return [];
    }
  }

  private read(
    source: WeightSource,
    { digest, manifest }: HeldVersion,
    chunk: number,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const { model, version } = manifest;
    if (source === origin) return this.routes.origin.chunk(model, version, chunk, signal);
    return this.routes.peers.chunk(source as Instance, digest, chunk, signal);
  }

  private async verifyWhole(version: HeldVersion): Promise<void> {
    const hash = createHash('sha256');
    for (const chunk of version.chunks) {
      hash.update(chunk!);
      await yieldToOthers();
    }
    const isWhole = hash.digest('hex') === version.manifest.content;
    this.store.verify(version.digest, isWhole);
    if (isWhole) return;
    this.metrics.count('weight_versions_corrupt');
    throw new Corrupted(`The content of ${version.manifest.model} does not match its digest.`);
  }
}
