import type { Clock } from '@laburnumstream/common';

/** Bytes written at once; small, so that an event of a stream does not wait long behind them. */
const sliceBytes = 12_288;
const bitsPerByte = 8;
const msPerSecond = 1_000;
/** Maximum number of concurrent transfers while the engine serves requests and while it does not. */
const maxTransfers = { serving: 3, idle: 6 } as const;
/** Share of the link's rate that transfers may use while the engine serves requests. */
const servingLinkShare = 0.85;
/** Unused sending time that is carried over, in milliseconds, so that late timers do not lower the rate. */
const burstMs = 25;

/** Limits weight transfers so that the instance's link has room for the engine's streams. */
export class Uplink {
  private activeCount = 0;

  /** Monotonic time at which the bytes accepted so far have been sent, in milliseconds. */
  private freeAt = 0;

  constructor(
    private readonly bitsPerSecond: number,
    private readonly isServing: () => boolean,
    private readonly clock: Clock,
  ) {}

  /** Number of running transfers. */
  get activeTransfers(): number {
    return this.activeCount;
  }

  /** Starts a transfer unless the limit is reached; returns whether it was started. */
  tryStart(): boolean {
    const limit = this.isServing() ? maxTransfers.serving : maxTransfers.idle;
    if (this.activeCount >= limit) return false;
    this.activeCount += 1;
    return true;
  }

  end(): void {
    this.activeCount -= 1;
  }

  /** Writes the bytes in slices, each when the link has room for it. */
  async send(bytes: Uint8Array, write: (slice: Uint8Array) => Promise<void>): Promise<void> {
    for (let start = 0; start < bytes.length; start += sliceBytes) {
      const slice = bytes.subarray(start, start + sliceBytes);
      await this.throttle(slice.length);
      await write(slice);
    }
  }

  /** Waits until the link has room for the next bytes; only while the engine serves requests. */
  private async throttle(bytes: number): Promise<void> {
    if (!this.isServing()) return;
    const now = this.clock.now();
    const rate = this.bitsPerSecond * servingLinkShare;
    this.freeAt =
      Math.max(this.freeAt, now - burstMs) + ((bytes * bitsPerByte) / rate) * msPerSecond;
    const waitMs = this.freeAt - now;
    if (waitMs > 1) await this.clock.sleep(waitMs);
  }
}
