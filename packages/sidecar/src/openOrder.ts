import { OrderRefused } from '@laburnumstream/common';
import type { HeldVersion } from './heldVersion.js';
import type { EngineState } from './localEngine.js';

/** A load order that the engine may have accepted, or may accept later. */
interface PendingOrder {
  readonly target: HeldVersion;
  /** Start of the engine that it was sent to. */
  readonly bornAt: number;
  /** Number of orders that the engine must have accepted before it. */
  readonly acceptedOrders: number;
}

/**
 * The load order whose outcome is unknown. The engine takes the pieces that are staged when it accepts an order, so no
 * other version may be staged before the order can't be accepted any more: the engine has accepted one in its place,
 * or has started anew.
 */
export class OpenOrder {
  private pending: PendingOrder | undefined;

  /** The version that has to stay staged; undefined if no outcome is unknown. */
  get target(): HeldVersion | undefined {
    return this.pending?.target;
  }

  /** Whether an order for a version has been accepted, now that the engine is in a state; forgets a settled one. */
  settle({ bornAt, acceptedOrders }: EngineState): HeldVersion | undefined {
    const { pending } = this;
    if (!pending) return undefined;
    const isSameStart = pending.bornAt === bornAt;
    if (isSameStart && pending.acceptedOrders === acceptedOrders) return undefined;
    this.pending = undefined;
    return isSameStart ? pending.target : undefined;
  }

  /** Sends an order; it stays open unless the engine's response tells its outcome. */
  async send(target: HeldVersion, state: EngineState, order: () => Promise<void>): Promise<void> {
    const { bornAt, acceptedOrders } = state;
    const earlier = this.pending;
    this.pending = { target, bornAt, acceptedOrders };
    try {
      await order();
      this.pending = undefined;
    } catch (error) {
      // A refusal tells nothing of an earlier order without a response.
      if (error instanceof OrderRefused) this.pending = earlier;
      throw error;
    }
  }
}
