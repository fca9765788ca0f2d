import type { Clock } from '@laburnumstream/common';
import { Notifier } from '@laburnumstream/runtime';

/**
 * Time from the start of the process within which requests wait for the first configuration, in milliseconds. Their
 * callers are not served earlier by any other entry that starts with this one, as after a loss of power.
 */
const startupMs = 2_000;
/** Longest wait for a new proof from a store that responds, in milliseconds: a call to it takes less. */
const maxProofWaitMs = 300;
/** Largest part of its caller's remaining time for which a request waits. */
const maxWaitShare = 1 / 3;

/** Lets requests wait for a response of the store that is expected soon: the first configuration or a new proof. */
export class StoreWait {
  private readonly changed = new Notifier();

  private readonly startedAt: number;

  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    /** Whether the store responded to the last call. */
    private readonly isReachable: () => boolean,
  ) {
    this.startedAt = clock.now();
  }

  /** To be called after each response of the store. */
  notify(): void {
    this.changed.notify();
  }

  /** Waits until a configuration is known, if the process has just started. */
  async awaitConfiguration(
    isKnown: () => boolean,
    timeLeftMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const now = this.clock.now();
    const until = Math.min(this.startedAt + startupMs, now + timeLeftMs * maxWaitShare);
    await this.waitUntil(isKnown, until, signal);
  }

  /** Waits until the store has confirmed the configuration again, if it responds. */
  async awaitProof(
    isProven: () => boolean,
    timeLeftMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (!this.isReachable()) return;
    const waitMs = Math.min(maxProofWaitMs, timeLeftMs * maxWaitShare);
    await this.waitUntil(isProven, this.clock.now() + waitMs, signal);
  }

  private async waitUntil(
    isReached: () => boolean,
    until: number,
    signal: AbortSignal,
  ): Promise<void> {
    for (let leftMs = until - this.clock.now(); leftMs > 0; leftMs = until - this.clock.now()) {
      if (isReached()) return;
      await this.changed.wait(leftMs, signal);
    }
  }
}
