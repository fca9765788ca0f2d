import { createHash } from 'node:crypto';
import { Corrupted, NotFound, Unavailable, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics, Random } from '@laburnumstream/common';
import {
  FetchFault,
  HolderTransfer,
  defaultHolderLimits,
  origin,
  sourceName,
} from '@laburnumstream/decisions';
import type { ChunkFetch, WeightMember } from '@laburnumstream/decisions';
import { HeldVersion, bitmapToFlags } from './heldVersion.js';
import type { PieceManifest, PieceOrigin } from './localEngine.js';
import type { PeerClient } from './peerClient.js';

/** Dependencies of a fetch. */
export interface FetchDependencies {
  readonly peers: PeerClient;
  readonly origin: PieceOrigin;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Where the pieces of a version can be fetched from. */
export interface FetchSources {
  /** Members that take part in the transfer. */
  readonly members: readonly WeightMember[];
  /** Address of the origin; empty when there is none. */
  readonly origin: string;
}

/** Time between two checks for overdue fetches, in milliseconds. */
const checkIntervalMs = 40;

const faultByFailureType: Readonly<Record<string, FetchFault>> = {
  not_found: FetchFault.notYet,
  unavailable: FetchFault.notYet,
  corrupted: FetchFault.corrupt,
};

/** Computes the SHA-256 of bytes, in hex. */
export function sha256Hex(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/**
 * Fetches one version into memory, from the members that hold its pieces and from the origin. A piece is
 * a chunk of the `HolderTransfer`, which decides what to fetch from where.
 */
export class VersionFetch {
  readonly held: HeldVersion;

  private readonly transfer: HolderTransfer;

  private readonly running = new Map<ChunkFetch, AbortController>();

  private sources: FetchSources = { members: [], origin: '' };

  private signal: AbortSignal = AbortSignal.abort();

  constructor(
    manifest: PieceManifest,
    self: WeightMember,
    private readonly dependencies: FetchDependencies,
    /** Transfer time of one piece over the origin's link, in milliseconds. */
    originPieceMs: number,
    private readonly onPieceReceived: (piece: number) => void,
  ) {
    const { random, clock } = dependencies;
    this.held = new HeldVersion(manifest);
    const limits = { ...defaultHolderLimits, originChunkMs: originPieceMs };
    const pieces = manifest.digests.length;
    this.transfer = new HolderTransfer(pieces, self, random, clock.now(), limits);
  }

  get isComplete(): boolean {
    return this.transfer.isComplete;
  }

  /** Fraction of the pieces that are held, from 0 to 1. */
  get progress(): number {
    return 1 - this.transfer.remaining / this.transfer.chunks;
  }

  /** Members of other regions that wait for this one to announce a piece. */
  remoteReceivers(piece: number): WeightMember[] {
    return this.transfer.remoteReceivers(piece);
  }

  /** Members of other regions from which this one fetches missing pieces. */
  remoteSources(): WeightMember[] {
    return this.transfer.remoteSources();
  }

  updateSources(sources: FetchSources): void {
    this.sources = sources;
    this.transfer.updateMembers(sources.members);
  }

  /** Sets the maximum number of concurrent fetches from members. */
  setWindow(window: number): void {
    this.transfer.maxMemberFetches = window;
  }

  /** Records that a member holds all pieces, because it serves this version. */
  markComplete(name: string): void {
    const { transfer, dependencies } = this;
    transfer.updateHolder(
      name,
      new Uint8Array(transfer.chunks).fill(1),
      0,
      dependencies.clock.now(),
    );
  }

  /** Records which pieces a member holds and how many transfers it is sending. */
  updateHeldPieces(name: string, bitmap: Uint8Array, sending: number): void {
    this.transfer.updateHolder(
      name,
      bitmapToFlags(bitmap, this.transfer.chunks),
      sending,
      this.dependencies.clock.now(),
    );
    this.startFetches();
  }

  /** Adds a piece if its digest matches; returns whether it does. */
  addIfValid(piece: number, bytes: Uint8Array): boolean {
    if (sha256Hex(bytes) !== this.held.manifest.digests[piece]) return false;
    this.held.add(piece, bytes);
    this.transfer.markHeld(piece);
    return true;
  }

  /** Fetches until the version is complete; rejects when the signal fires. */
  async run(signal: AbortSignal): Promise<HeldVersion> {
    const ended = new AbortController();
    this.signal = AbortSignal.any([signal, ended.signal]);
    try {
      while (!this.isComplete) {
        this.runFetches(this.transfer.hedgeFetches(this.dependencies.clock.now()));
        this.running.forEach((abort, fetch) => {
          if (!this.transfer.isRunning(fetch)) abort.abort();
        });
        await this.dependencies.clock.sleep(checkIntervalMs, signal);
      }
      return this.held;
    } finally {
      ended.abort();
    }
  }

  private startFetches(): void {
    if (!this.signal.aborted)
      this.runFetches(this.transfer.startFetches(this.dependencies.clock.now()));
  }

  private runFetches(fetches: readonly ChunkFetch[]): void {
    fetches.forEach((fetch) => {
      const abort = new AbortController();
      this.running.set(fetch, abort);
      void this.fetchPiece(fetch, AbortSignal.any([this.signal, abort.signal])).then(() => {
        this.running.delete(fetch);
        this.startFetches();
      });
    });
  }

  private async fetchPiece(fetch: ChunkFetch, signal: AbortSignal): Promise<void> {
    const { chunk: piece, source } = fetch;
    const { metrics, clock, log } = this.dependencies;
    try {
      const bytes = await this.readPiece(fetch, signal);
      if (!this.addIfValid(piece, bytes))
        throw new Corrupted(`The digest of piece ${piece} does not match.`);
      this.transfer.fetchSucceeded(fetch, clock.now());
      metrics.count(source === origin ? 'pieces_from_origin' : 'pieces_from_members');
      log.debug('Piece received.', {
        piece,
        from: sourceName(source),
        ms: Math.round(clock.now() - fetch.startedAt),
      });
      this.onPieceReceived(piece);
    } catch (error) {
      if (signal.aborted) return;
      const failure = toFailure(error);
      const fault = faultByFailureType[failure.type] ?? FetchFault.unreachable;
      metrics.count(`piece_faults_${fault}`);
      const from = sourceName(source);
      log.debug('Piece not fetched.', { piece, from, fault, reason: failure.message });
      this.transfer.fetchFailed(fetch, fault, clock.now());
    }
  }

  private readPiece(
    { chunk: piece, source }: ChunkFetch,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const { model, version } = this.held.manifest;
    const { peers, origin: originClient } = this.dependencies;
    if (source !== origin) return peers.getPiece(source.name, version, piece, signal);
    if (this.sources.origin) {
      return originClient.getPiece(this.sources.origin, model, version, piece, signal);
    }
    return Promise.reject(new Unavailable('No origin is configured.', checkIntervalMs));
  }
}

/** Fetches the manifest of a version from the first member that sends it, otherwise from the origin. */
export async function fetchManifest(
  model: string,
  version: number,
  holders: readonly string[],
  originAddress: string,
  dependencies: FetchDependencies,
  signal: AbortSignal,
): Promise<PieceManifest> {
  const { peers, origin: originClient, log } = dependencies;
  for (const host of holders) {
    try {
      return await peers.getManifest(host, version, signal);
    } catch (error) {
      signal.throwIfAborted();
      log.debug('Manifest not fetched from member.', { host, reason: toFailure(error).message });
    }
  }
  if (!originAddress)
    throw new NotFound('No member sent the manifest and no origin is configured.');
  // The origin may send corrupt bytes, and a wrong digest in the manifest could not be detected later.
  const [first, second] = await Promise.all([
    originClient.getManifest(originAddress, model, version, signal),
    originClient.getManifest(originAddress, model, version, signal),
  ]);
  if (first.digests.join() === second.digests.join()) return first;
  throw new Corrupted('The origin sent two different manifests.');
}
