import type { Clock } from '@laburnumstream/common';

/** Bytes that are sent at once: short enough that a stream's event does not wait behind them. */
const grainBytes = 12_288;
const bitsPerByte = 8;
const secondMs = 1_000;
/** Transfers at once while the engine serves requests, and while it does not. */
const mostTransfers = { serving: 3, idle: 6 } as const;
/** Part of the link that transfers fill while the engine serves requests. */
const servingShare = 0.85;
/** Time for which an idle link saves up its rate, so that late timers cost no bytes. */
const burstMs = 25;

/** Shares the instance's link between weights and the engine's streams. */
export class Uplink {
  private transfers = 0;

  private freeAt = 0;

  constructor(
    private readonly bitsPerSecond: number,
    private readonly isServing: () => boolean,
    private readonly clock: Clock,
  ) {}

  /** Transfers that run. */
  get running(): number {
    return this.transfers;
  }

  /** Takes a place for a transfer; returns whether one was free. */
  tryStart(): boolean {
    const most = this.isServing() ? mostTransfers.serving : mostTransfers.idle;
    if (this.transfers >= most) return false;
    this.transfers += 1;
    return true;
  }

  end(): void {
    this.transfers -= 1;
  }

  /** Cuts bytes into grains and passes each on when the link has room for it. */
  async send(bytes: Uint8Array, write: (grain: Uint8Array) => Promise<void>): Promise<void> {
    for (let start = 0; start < bytes.length; start += grainBytes) {
      const grain = bytes.subarray(start, start + grainBytes);
      await this.pace(grain.length);
      await write(grain);
    }
  }

  private async pace(bytes: number): Promise<void> {
    if (!this.isServing()) return;
    const now = this.clock.now();
    const rate = this.bitsPerSecond * servingShare;
    this.freeAt = Math.max(this.freeAt, now - burstMs) + ((bytes * bitsPerByte) / rate) * secondMs;
    const waitMs = this.freeAt - now;
    if (waitMs > 1) await this.clock.sleep(waitMs);
  }
}
