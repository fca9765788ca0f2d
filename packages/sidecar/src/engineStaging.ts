import { Unavailable, toFailure } from '@laburnumstream/common';
import type { Log, Metrics } from '@laburnumstream/common';
import type { HeldVersion } from './heldVersion.js';
import type { LocalEngine } from './localEngine.js';
import { digestOf } from './versionFetch.js';

/** Times that one piece is put at the engine before the switch is put off. */
const mostPuts = 4;
/** Delay before a switch is tried again, in milliseconds. */
const pauseMs = 300;

/** Puts the pieces of a version at the engine beside this process, ready to be loaded. */
export class EngineStaging {
  /** Version whose pieces this process has put there. */
  private stagedVersion = 0;

  constructor(
    private readonly engine: LocalEngine,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Puts all pieces at the engine and reads each back: what lies there may have been spoilt. */
  async put(target: HeldVersion, signal: AbortSignal): Promise<void> {
    const { model, version, digests } = target.manifest;
    const isKnown = this.stagedVersion === version;
    this.stagedVersion = 0;
    for (const [piece, digest] of digests.entries()) {
      const isStaged = isKnown && (await this.lies(model, piece, digest, signal));
      if (!isStaged) await this.stagePiece(target, piece, signal);
    }
    this.stagedVersion = version;
  }

  /** Puts one piece at the engine until the right one lies there. */
  private async stagePiece(target: HeldVersion, piece: number, signal: AbortSignal): Promise<void> {
    const { model, digests } = target.manifest;
    for (let tries = 0; tries < mostPuts; tries += 1) {
      await this.engine.stage(model, piece, target.pieces[piece]!, signal);
      if (await this.lies(model, piece, digests[piece]!, signal)) return;
      this.metrics.count('staged_pieces_spoilt');
      this.log.info('Staged piece spoilt; putting it again.', { piece });
    }
    throw new Unavailable(`Piece ${piece} is spoilt each time that it is staged.`, pauseMs);
  }

  /** Whether the right piece lies at the engine. */
  private async lies(
    model: string,
    piece: number,
    digest: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    try {
      return digestOf(await this.engine.stagedPiece(model, piece, signal)) === digest;
    } catch (error) {
      if (toFailure(error).type === 'not_found') return false;
      throw error;
    }
  }
}
