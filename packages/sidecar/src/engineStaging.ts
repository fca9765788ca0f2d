import { Unavailable, toFailure } from '@laburnumstream/common';
import type { Log, Metrics } from '@laburnumstream/common';
import type { HeldVersion } from './heldVersion.js';
import type { LocalEngine } from './localEngine.js';
import { sha256Hex } from './versionFetch.js';

/** Attempts to stage one piece before the switch is postponed. */
const maxStageAttempts = 4;
/** Delay before a postponed switch is retried, in milliseconds. */
const retryDelayMs = 300;

/** Stages the pieces of a version at the local engine, ready to be loaded. */
export class EngineStaging {
  /** Version whose pieces this process has staged completely; 0 for none. */
  private lastStagedVersion = 0;

  constructor(
    private readonly engine: LocalEngine,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Stages all pieces and reads each one back, because the engine may corrupt staged pieces. */
  async stage(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const { model, version, digests } = target.manifest;
    const isKnown = this.lastStagedVersion === version;
    this.lastStagedVersion = 0;
    for (const [piece, digest] of digests.entries()) {
      const isStaged = isKnown && (await this.hasIntactPiece(model, piece, digest, signal));
      if (!isStaged) await this.stagePiece(target, piece, signal);
    }
    this.lastStagedVersion = version;
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
