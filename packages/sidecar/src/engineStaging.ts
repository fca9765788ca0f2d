import { Unavailable, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import type { HeldVersion } from './heldVersion.js';
import type { LocalEngine } from './localEngine.js';
import { sha256Hex } from './versionFetch.js';

/** Attempts to stage one piece before the switch is postponed. */
const maxStageAttempts = 4;
/** Age of a check from which a piece may have been corrupted for too long, in milliseconds. */
const maxCheckAgeMs = 2_000;
/** Number of pieces that are staged or read back at once. */
const window = 8;
/** Delay before a postponed switch is retried, in milliseconds. */
const retryDelayMs = 300;

/** Calls a function for each number below `count`, several at once. */
async function forEachPiece(
  count: number,
  handle: (piece: number) => Promise<void>,
): Promise<void> {
  for (let start = 0; start < count; start += window) {
    const size = Math.min(window, count - start);
    await Promise.all(Array.from({ length: size }, (_, index) => handle(start + index)));
  }
}

/** Stages the pieces of a version at the local engine, ready to be loaded. */
export class EngineStaging {
  /** Version whose pieces the engine had, as this process has seen; 0 for none. */
  private stagedVersion = 0;

  /** Pieces of that version which were intact. */
  private stagedPieces: ReadonlySet<number> = new Set();

  /** Whether all pieces were read back before there was a switch to stage them for. */
  private isAdopted = false;

  /** Time at which a piece was last sent to the engine, in milliseconds. */
  private stagedAt = -Infinity;

  /** Time since when all pieces have been read back, in milliseconds. */
  private checkedSince = -Infinity;

  constructor(
    private readonly engine: LocalEngine,
    /** Runs during a suspension too, in which staged pieces can be corrupted. */
    private readonly clock: Pick<Clock, 'now'>,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Throws `Unavailable` unless all pieces were read back in the last `maxCheckAgeMs`. */
  requireRecentCheck(): void {
    if (this.isCheckRecent) return;
    throw new Unavailable('The staged pieces were checked too long ago.', retryDelayMs);
  }

  /**
   * Records pieces that the engine had when they were read back from `checkedSince` on: they are not staged again, and
   * if they are all of the version, they are not read back again while that check is recent.
   */
  adopt(target: HeldVersion, pieces: readonly number[], checkedSince: number): void {
    // A piece of another version may have replaced one that had been read.
    if (this.stagedAt >= checkedSince) return;
    this.stagedVersion = target.version;
    this.stagedPieces = new Set(pieces);
    this.isAdopted = this.stagedPieces.size === target.pieces.length;
    if (this.isAdopted) this.checkedSince = checkedSince;
  }

  /** Current time of the clock by which checks are dated, in milliseconds. */
  now(): number {
    return this.clock.now();
  }

  /**
   * Stages all pieces and reads each one back, because the engine may corrupt staged pieces. Throws `Unavailable` if
   * they can't all be read back within a short time.
   */
  async stage(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const isStaged = this.isAdopted && this.stagedVersion === target.version;
    this.isAdopted = false;
    if (isStaged && this.isCheckRecent) return;
    await this.stageEach(target, signal);
    for (let attempt = 0; attempt < maxStageAttempts && !this.isCheckRecent; attempt += 1)
      await this.checkAll(target, signal);
    this.requireRecentCheck();
  }

  private get isCheckRecent(): boolean {
    return this.clock.now() - this.checkedSince < maxCheckAgeMs;
  }

  /** Stages the pieces; one that the engine had is read back first. */
  private async stageEach(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const { model, version, digests } = target.manifest;
    const known = this.stagedVersion === version ? this.stagedPieces : new Set<number>();
    this.stagedVersion = 0;
    this.checkedSince = this.clock.now();
    await forEachPiece(digests.length, async (piece) => {
      const isStaged =
        known.has(piece) && (await this.hasIntactPiece(model, piece, digests[piece]!, signal));
      if (!isStaged) await this.stagePiece(target, piece, signal);
    });
    this.stagedVersion = version;
    this.stagedPieces = new Set(digests.keys());
  }

  /** Reads all pieces back and stages those again that are corrupted. */
  private async checkAll(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const { model, digests } = target.manifest;
    this.checkedSince = this.clock.now();
    await forEachPiece(digests.length, async (piece) => {
      const isIntact = await this.hasIntactPiece(model, piece, digests[piece]!, signal);
      if (!isIntact) await this.stagePiece(target, piece, signal);
    });
  }

  /** Stages one piece until the engine returns it intact; throws `Unavailable` when it never does. */
  private async stagePiece(target: HeldVersion, piece: number, signal: AbortSignal): Promise<void> {
    const { model, digests } = target.manifest;
    if (target.version !== this.stagedVersion) this.stagedVersion = 0;
    for (let attempt = 0; attempt < maxStageAttempts; attempt += 1) {
      this.stagedAt = Infinity;
      await this.engine.stagePiece(model, piece, target.pieces[piece]!, signal).finally(() => {
        this.stagedAt = this.clock.now();
      });
      if (await this.hasIntactPiece(model, piece, digests[piece]!, signal)) return;
      this.metrics.count('staged_pieces_spoilt');
      this.log.info('Staged piece corrupted; staging it again.', { piece });
    }
    throw new Unavailable(
      `Piece ${piece} was corrupted each time that it was staged.`,
      retryDelayMs,
    );
  }

  /** Whether the engine has staged the piece and its digest matches. */
  private async hasIntactPiece(
    model: string,
    piece: number,
    digest: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    try {
      return sha256Hex(await this.engine.getStagedPiece(model, piece, signal)) === digest;
    } catch (error) {
      if (toFailure(error).type === 'not_found') return false;
      throw error;
    }
  }
}
