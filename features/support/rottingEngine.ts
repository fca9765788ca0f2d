import { setTimeout as sleep } from 'node:timers/promises';
import { StagingEngine, testVersion } from './stagingEngine.js';

/** Time of each call to stage or read a piece, in milliseconds. */
const callMs = 160;
/** Time for which the instance stands still, in milliseconds. */
const stillMs = 3_500;

/** Why the order to load follows the check of the first piece late. */
export const OrderDelay = {
  slowCalls: 'stages pieces slowly',
  standstill: 'stands still before the order',
} as const;

/** One of the values of {@link OrderDelay}. */
export type OrderDelay = (typeof OrderDelay)[keyof typeof OrderDelay];

/** Blocks this process, as a pause of an instance does. */
function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms);
}

/** An engine whose first piece turns bad once, right after it was read back for the first time. */
export class RottingEngine extends StagingEngine {
  /** Time for which a piece had been bad at each order, in milliseconds; 0 if all were right. */
  readonly badMs: number[] = [];

  /** Monotonic time at which the first piece turned bad, in milliseconds; undefined before. */
  private badSince: number | undefined;

  private hasStoodStill = false;

  constructor(private readonly delay: OrderDelay) {
    super();
  }

  override async getStagedPiece(model: string, piece: number): Promise<Uint8Array> {
    await this.takeTime();
    const bytes = await super.getStagedPiece(model, piece);
    if (piece === 0 && this.badSince === undefined) {
      this.badSince = performance.now();
      this.staged.set(0, Buffer.from('bad'));
    }
    const isLast = piece === testVersion.pieces - 1;
    if (isLast && this.delay === OrderDelay.standstill && !this.hasStoodStill) {
      this.hasStoodStill = true;
      block(stillMs);
    }
    return bytes;
  }

  override async stagePiece(model: string, piece: number, bytes: Uint8Array): Promise<void> {
    await this.takeTime();
    await super.stagePiece(model, piece, bytes);
  }

  override async orderLoad(model: string, version: number, expected: number): Promise<void> {
    await super.orderLoad(model, version, expected);
    const { isRight } = this.orders.at(-1)!;
    this.badMs.push(isRight ? 0 : performance.now() - this.badSince!);
  }

  private async takeTime(): Promise<void> {
    if (this.delay === OrderDelay.slowCalls) await sleep(callMs);
  }
}
