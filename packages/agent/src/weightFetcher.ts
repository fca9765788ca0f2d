import { createHash } from 'node:crypto';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
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
import type { BandwidthLimiter } from './bandwidthLimiter.js';
import type { StoredVersion, WeightStore } from './weightStore.js';

const pollMs = 100;
const manifestRetryMs = 300;

const faultsByType: Readonly<Record<string, FetchFault>> = {
  not_found: FetchFault.notYet,
  corrupted: FetchFault.corrupt,
};

/** Names the version to fetch. */
export interface WantedVersion {
  readonly model: string;
  readonly version: string;
  readonly digest: string;
}

/** Sources and limits of a weight fetcher. */
export interface WeightFetcherOptions {
  readonly origin: WeightOrigin;
  readonly peers: WeightPeers;
  /** Limits the bandwidth at which this instance receives. */
  readonly receiveLimiter: BandwidthLimiter;
  readonly order?: SourceOrder;
  readonly limits?: TransferLimits;
}

/**
 * Fetches weight versions from peers and the origin; verifies each chunk and the complete content.
 */
export class WeightFetcher {
  constructor(
    private readonly options: WeightFetcherOptions,
    private readonly store: WeightStore,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Fetches a complete version; retries until the signal fires or the content is found corrupt. */
  async fetch(wanted: WantedVersion, signal: AbortSignal): Promise<StoredVersion> {
    const manifest =
      this.store.find(wanted.digest)?.manifest ?? (await this.fetchManifest(wanted, signal));
    const version = this.store.reserve(wanted.digest, manifest);
    if (version.isVerified) return version;
    await this.fetchChunks(version, signal);
    await this.verifyContent(version);
    return version;
  }

  /**
   * Fetches the manifest in the source order of chunk 0, so that the origin gets about one request.
   */
  private async fetchManifest(wanted: WantedVersion, signal: AbortSignal): Promise<Manifest> {
    for (;;) {
      const { peers } = this.options;
      const order = sourceOrders.trees(peers.topology(wanted.digest), peers.self, 0);
      for (const source of order) {
        const manifest = await this.tryFetchManifest(source, wanted, signal);
        if (manifest) return manifest;
      }
      await this.clock.sleep(manifestRetryMs, signal);
    }
  }

  private async tryFetchManifest(
    source: WeightSource,
    wanted: WantedVersion,
    signal: AbortSignal,
  ): Promise<Manifest | undefined> {
    const { model, version, digest } = wanted;
    try {
      const manifest =
        source === origin
          ? await this.options.origin.manifest(model, version, signal)
          : validateManifest(await this.options.peers.manifest(source as Instance, digest, signal));
      if (manifestDigest(manifest, sha256) === digest) return manifest;
      this.metrics.count('weight_manifests_of_other_versions');
      this.log.warn('The source has a different manifest.', { model, source: sourceName(source) });
    } catch (error) {
      this.log.debug('Manifest not fetched.', {
        type: toFailure(error).type,
        source: sourceName(source),
      });
    }
    signal.throwIfAborted();
    return undefined;
  }

  private async fetchChunks(version: StoredVersion, signal: AbortSignal): Promise<void> {
    const { digest, manifest } = version;
    const { peers, order = sourceOrders.trees, limits = defaultTransferLimits } = this.options;
    let topology: Topology = peers.topology(digest);
    const transfer = new Transfer(manifest.chunks.length, peers.self, topology, order, limits);
    version.chunks.forEach((chunk, index) => chunk && transfer.markHeld(index));
    const ended = new AbortController();
    const transferSignal = AbortSignal.any([signal, ended.signal]);
    const inFlight = new Map<ChunkFetch, AbortController>();
    const launch = (fetches: readonly ChunkFetch[]): void =>
      fetches.forEach((fetch) => {
        const startNext = (): void => {
          if (!transferSignal.aborted) launch(transfer.startFetches(this.clock.now()));
        };
        const superseded = new AbortController();
        inFlight.set(fetch, superseded);
        const fetchSignal = AbortSignal.any([transferSignal, superseded.signal]);
        void this.fetchChunk(fetch, version, transfer, fetchSignal).then((others) => {
          others.forEach((other) => inFlight.get(other)?.abort());
          inFlight.delete(fetch);
          startNext();
        });
      });
    try {
      launch(transfer.startFetches(this.clock.now()));
      while (!transfer.isComplete) {
        await this.clock.sleep(pollMs, signal);
        const latest = peers.topology(digest);
        if (latest !== topology) transfer.updateTopology(latest);
        topology = latest;
        launch(transfer.hedgeFetches(this.clock.now()));
      }
    } finally {
      ended.abort();
    }
  }

  private async fetchChunk(
    fetch: ChunkFetch,
    version: StoredVersion,
    transfer: Transfer,
    signal: AbortSignal,
  ): Promise<readonly ChunkFetch[]> {
    const { chunk, source } = fetch;
    try {
      const bytes = await this.readChunk(source, version, chunk, signal);
      await this.options.receiveLimiter.acquire(bytes.byteLength);
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
      const fault = faultsByType[type] ?? FetchFault.unreachable;
      this.metrics.count(`weight_faults_${fault}`);
      this.log.debug('Chunk not fetched.', { chunk, fault, type, source: sourceName(source) });
      if (fault === FetchFault.corrupt) {
        this.metrics.count('weight_chunks_corrupt');
        this.log.warn('Corrupt chunk.', { chunk, source: sourceName(source) });
      }
      if (source === origin) await this.clock.sleep(pollMs, signal).catch(() => undefined);
      transfer.fetchFailed(fetch, fault, this.clock.now());
      return [];
    }
  }

  private readChunk(
    source: WeightSource,
    { digest, manifest }: StoredVersion,
    chunk: number,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const { model, version } = manifest;
    if (source === origin) return this.options.origin.chunk(model, version, chunk, signal);
    return this.options.peers.chunk(source as Instance, digest, chunk, signal);
  }

  private async verifyContent(version: StoredVersion): Promise<void> {
    const hash = createHash('sha256');
    for (const chunk of version.chunks) {
      hash.update(chunk!);
      await yieldToEventLoop();
    }
    const isIntact = hash.digest('hex') === version.manifest.content;
    this.store.setVerified(version.digest, isIntact);
    if (isIntact) return;
    this.metrics.count('weight_versions_corrupt');
    throw new Corrupted(`The content of ${version.manifest.model} does not match its digest.`);
  }
}
