import { Unavailable, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import type { HeldVersion } from './heldVersion.js';
import type { LocalEngine } from './localEngine.js';
import { sha256Hex } from './versionFetch.js';

/** Attempts to stage one piece before the switch is postponed. */
const maxStageAttempts = 4;
/** Age of a check from which a piece may have been corrupted for too long, in milliseconds. */
const maxCheckAgeMs = 2_000;
/** Number of pieces that are read back at once. */
const checkWindow = 8;
/** Delay before a postponed switch is retried, in milliseconds. */
const retryDelayMs = 300;

/** Stages the pieces of a version at the local engine, ready to be loaded. */
export class EngineStaging {
  /** Version whose pieces this process has staged completely; 0 for none. */
  private lastStagedVersion = 0;

  /** Time since when all pieces have been read back, in milliseconds. */
  private checkedSince = -Infinity;

  constructor(
    private readonly engine: LocalEngine,
    /** Runs during a suspension too, in which staged pieces can be corrupted. */
    private readonly clock: Pick<Clock, 'now'>,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Throws `Unavailable` unless all pieces were read back a moment ago. */
  requireRecentCheck(): void {
    if (this.isCheckRecent) return;
    throw new Unavailable('The staged pieces were checked too long ago.', retryDelayMs);
  }

  /**
   * Stages all pieces and reads each one back, because the engine may corrupt staged pieces. Throws `Unavailable` if
   * they can't all be read back within a short time.
   */
  async stage(target: HeldVersion, signal: AbortSignal): Promise<void> {
    await this.stageEach(target, signal);
    for (let attempt = 0; attempt < maxStageAttempts && !this.isCheckRecent; attempt += 1)
      await this.checkAll(target, signal);
    this.requireRecentCheck();
  }

  private get isCheckRecent(): boolean {
    return this.clock.now() - this.checkedSince < maxCheckAgeMs;
  }

  /** Stages the pieces in turn, those that are intact only if this process has not staged them. */
  private async stageEach(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const { model, version, digests } = target.manifest;
    const isKnown = this.lastStagedVersion === version;
    this.lastStagedVersion = 0;
    this.checkedSince = this.clock.now();
    for (const [piece, digest] of digests.entries()) {
      const isStaged = isKnown && (await this.hasIntactPiece(model, piece, digest, signal));
      if (!isStaged) await this.stagePiece(target, piece, signal);
    }
    this.lastStagedVersion = version;
  }

  /** Reads all pieces back, several at once, and stages those again that are corrupted. */
  private async checkAll(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const { model, digests } = target.manifest;
    this.checkedSince = this.clock.now();
    for (let start = 0; start < digests.length; start += checkWindow) {
      const checks = digests.slice(start, start + checkWindow).map(async (digest, index) => {
        const isIntact = await this.hasIntactPiece(model, start + index, digest, signal);
        if (!isIntact) await this.stagePiece(target, start + index, signal);
      });
      await Promise.all(checks);
    }
  }

  /** Stages one piece until the engine returns it intact; throws `Unavailable` when it never does. */
  private async stagePiece(target: HeldVersion, piece: number, signal: AbortSignal): Promise<void> {
    const { model, digests } = target.manifest;
    for (let attempt = 0; attempt < maxStageAttempts; attempt += 1) {
      await this.engine.stagePiece(model, piece, target.pieces[piece]!, signal);
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
