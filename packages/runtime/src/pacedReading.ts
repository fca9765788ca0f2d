import type { Dispatcher } from 'undici';

/**
 * Pieces of a body, chunks or parts of them, that one connection brings before the others are read. Without it a
 * connection is read until nothing is left, which in chunks of one byte takes the event loop a tenth of a second.
 */
export const maxPiecesPerTurn = 8_192;

/** The part of undici's controller that stops and continues the reading of a response. */
export type ReadControl = Pick<Dispatcher.DispatchController, 'pause' | 'resume'>;

/** Pauses the reading of a response while its reader wants no more, or for a turn after many pieces. */
export class PacedReading {
  private control: ReadControl | undefined;

  /** Pieces that were received. */
  private pieces = 0;

  /** Whether the reader wants no more for now. */
  private isPaused = false;

  /** Whether the rest of what was read waits for the next turn of the event loop. */
  private isYielding = false;

  /** Sets the controller of the response. */
  attach(control: ReadControl): void {
    this.control = control;
  }

  pause(): void {
    this.isPaused = true;
    this.control?.pause();
  }

  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    if (!this.isYielding) this.control?.resume();
  }

  /** Counts a piece; after many the rest is left for the next turn of the event loop. */
  recordPiece(): void {
    this.pieces += 1;
    if (this.pieces % maxPiecesPerTurn !== 0) return;
    this.isYielding = true;
    this.control?.pause();
    setImmediate(() => {
      this.isYielding = false;
      if (!this.isPaused) this.control?.resume();
    });
  }
}
