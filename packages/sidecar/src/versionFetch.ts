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
import { HeldVersion, flagsOf } from './heldVersion.js';
import type { PieceManifest, PieceOrigin } from './localEngine.js';
import type { PeerClient } from './peerClient.js';

/** What a fetch needs besides the version. */
export interface FetchServices {
  readonly peers: PeerClient;
  readonly origin: PieceOrigin;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** The members that take part in a transfer, and the origin's address; empty when there is none. */
export interface FetchGroup {
  readonly members: readonly WeightMember[];
  readonly origin: string;
}

/** Time between looks at fetches that take too long, in milliseconds. */
const lookMs = 40;

const faultOf: Readonly<Record<string, FetchFault>> = {
  not_found: FetchFault.notYet,
  unavailable: FetchFault.notYet,
  corrupted: FetchFault.corrupt,
};

/** SHA-256 of bytes, in hex. */
export function digestOf(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Brings one version into memory: from members that hold its pieces, and from the origin. */
export class VersionFetch {
  readonly held: HeldVersion;

  private readonly transfer: HolderTransfer;

  private readonly running = new Map<ChunkFetch, AbortController>();

  private group: FetchGroup = { members: [], origin: '' };

  private signal: AbortSignal = AbortSignal.abort();

  constructor(
    manifest: PieceManifest,
    self: WeightMember,
    private readonly services: FetchServices,
    /** Time in which the origin's link passes one piece, in milliseconds. */
    originPieceMs: number,
    private readonly onPiece: (piece: number) => void,
  ) {
    const { random, clock } = services;
    this.held = new HeldVersion(manifest);
    const limits = { ...defaultHolderLimits, originChunkMs: originPieceMs };
    const pieces = manifest.digests.length;
    this.transfer = new HolderTransfer(pieces, self, random, clock.now(), limits);
  }

  get isComplete(): boolean {
    return this.transfer.isComplete;
  }

  /** Part of the pieces that are here. */
  get progress(): number {
    return 1 - this.transfer.remaining / this.transfer.chunks;
  }

  /** Members of other regions to tell that a piece is here. */
  waitingElsewhere(piece: number): WeightMember[] {
    return this.transfer.remoteReceivers(piece);
  }

  /** Members of other regions to ask what they hold. */
  askedElsewhere(): WeightMember[] {
    return this.transfer.remoteSources();
  }

  regroup(group: FetchGroup): void {
    this.group = group;
    this.transfer.updateMembers(group.members);
  }

  /** Fetches at once. */
  setWindow(window: number): void {
    this.transfer.maxMemberFetches = window;
  }

  /** Another agent serves this version, so it holds all pieces. */
  learnWhole(name: string): void {
    const { transfer, services } = this;
    transfer.updateHolder(name, new Uint8Array(transfer.chunks).fill(1), 0, services.clock.now());
  }

  /** Another agent said what it holds. */
  learn(name: string, bitmap: Uint8Array, giving: number): void {
    this.transfer.updateHolder(
      name,
      flagsOf(bitmap, this.transfer.chunks),
      giving,
      this.services.clock.now(),
    );
    this.launch();
  }

  /** Takes a piece from elsewhere, if it is the right one; returns whether it was. */
  adopt(piece: number, bytes: Uint8Array): boolean {
    if (digestOf(bytes) !== this.held.manifest.digests[piece]) return false;
    this.held.put(piece, bytes);
    this.transfer.markHeld(piece);
    return true;
  }

  /** Runs until the version is complete; rejects when the signal fires. */
  async run(signal: AbortSignal): Promise<HeldVersion> {
    const ended = new AbortController();
    this.signal = AbortSignal.any([signal, ended.signal]);
    try {
      while (!this.isComplete) {
        this.begin(this.transfer.hedgeFetches(this.services.clock.now()));
        this.running.forEach((abort, fetch) => {
          if (!this.transfer.isRunning(fetch)) abort.abort();
        });
        await this.services.clock.sleep(lookMs, signal);
      }
      return this.held;
    } finally {
      ended.abort();
    }
  }

  private launch(): void {
    if (!this.signal.aborted) this.begin(this.transfer.startFetches(this.services.clock.now()));
  }

  private begin(fetches: readonly ChunkFetch[]): void {
    fetches.forEach((fetch) => {
      const abort = new AbortController();
      this.running.set(fetch, abort);
      void this.fetch(fetch, AbortSignal.any([this.signal, abort.signal])).then(() => {
        this.running.delete(fetch);
        this.launch();
      });
    });
  }

  private async fetch(fetch: ChunkFetch, signal: AbortSignal): Promise<void> {
    const { chunk: piece, source } = fetch;
    const { metrics, clock, log } = this.services;
    try {
      const bytes = await this.read(fetch, signal);
      if (!this.adopt(piece, bytes)) throw new Corrupted(`Piece ${piece} has another digest.`);
      this.transfer.fetchSucceeded(fetch, clock.now());
      metrics.count(source === origin ? 'pieces_from_origin' : 'pieces_from_members');
      log.debug('Piece came.', {
        piece,
        from: sourceName(source),
        ms: Math.round(clock.now() - fetch.startedAt),
      });
      this.onPiece(piece);
    } catch (error) {
      if (signal.aborted) return;
      const failure = toFailure(error);
      const fault = faultOf[failure.type] ?? FetchFault.unreachable;
      metrics.count(`piece_faults_${fault}`);
      const from = sourceName(source);
      log.debug('Piece not fetched.', { piece, from, fault, reason: failure.message });
      this.transfer.fetchFailed(fetch, fault, clock.now());
    }
  }

  private read({ chunk: piece, source }: ChunkFetch, signal: AbortSignal): Promise<Uint8Array> {
    const { model, version } = this.held.manifest;
    const { peers, origin: originClient } = this.services;
    if (source !== origin) return peers.piece(source.name, version, piece, signal);
    if (this.group.origin) {
      return originClient.piece(this.group.origin, model, version, piece, signal);
    }
    return Promise.reject(new Unavailable('There is no origin.', lookMs));
  }
}

/** Takes the manifest of a version from a member that has it, else from the origin. */
export async function fetchManifest(
  model: string,
  version: number,
  holders: readonly string[],
  originAddress: string,
  services: FetchServices,
  signal: AbortSignal,
): Promise<PieceManifest> {
  const { peers, origin: originClient, log } = services;
  for (const host of holders) {
    try {
      return await peers.manifest(host, version, signal);
    } catch (error) {
      signal.throwIfAborted();
      log.debug('No manifest from a member.', { host, reason: toFailure(error).message });
    }
  }
  if (!originAddress) throw new NotFound('There is no origin to ask for the manifest.');
  const first = await originClient.manifest(originAddress, model, version, signal);
  const second = await originClient.manifest(originAddress, model, version, signal);
  // The origin may send wrong bytes, and a wrong digest would never be noticed as such.
  if (first.digests.join() === second.digests.join()) return first;
  throw new Corrupted('The origin sent two different manifests.');
}
