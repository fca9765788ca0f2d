import { selectShed } from '@laburnumstream/decisions';
import type { MemoryBudget, MemoryHolder } from '@laburnumstream/decisions';
import type { Clock } from '@laburnumstream/common';
import type { ReadGate } from './readGate.js';

/** A caller's connection that holds memory. */
export interface CallerHolder extends Omit<MemoryHolder, 'stalledFor'> {
  bytes: number;
  workspace: string | undefined;
  /** Monotonic time at which a response was last sent, or else the connection opened, in milliseconds. */
  progressAt: number;
  readonly gate: ReadGate;
  /** Releases what it holds, by a refusal of its unfinished request or by closing it. */
  readonly shed: () => void;
}

/** Interval at which it is checked whether paused connections may be read again, in milliseconds. */
const checkMs = 50;
/** Checks in a row under shortage after which memory is shed: requests in progress may end before and release theirs. */
const maxShortChecks = 5;
/** Bytes that the HTTP server reads at once from a connection that is resumed. */
const readBytes = 65_536;

/** Share of the budget that callers may hold even if responses of endpoints take the rest. */
const guaranteedShare = 0.3;
/** Least share of the budget that a search for what to shed must release, so that searches are rare. */
const minShedShare = 0.05;

/** Reason to pause a connection: this process holds too much. */
const memoryShort = Symbol('memory short');

/** Counts what callers hold, pauses reading under shortage, and sheds what holds most if that does not help. */
export class CallerMemory {
  private readonly holders = new Set<CallerHolder>();

  private readonly paused = new Set<CallerHolder>();

  /** Bytes that all callers hold. */
  private heldBytes = 0;

  private shortChecks = 0;

  private timer: NodeJS.Timeout | undefined;

  private isShedding = false;

  constructor(
    private readonly budget: MemoryBudget,
    private readonly clock: Clock,
  ) {
    budget.onShortage(() => this.shed());
  }

  /** Changes what a connection holds. */
  change(holder: CallerHolder, bytes: number): void {
    if (bytes === 0) return;
    Object.assign(holder, { bytes: holder.bytes + bytes });
    this.heldBytes += bytes;
    if (bytes < 0) {
      this.budget.remove(-bytes);
      if (holder.bytes === 0) this.holders.delete(holder);
      return;
    }
    this.budget.add(bytes);
    this.holders.add(holder);
    if (this.isShort) this.pause(holder);
    if (this.budget.isExceeded) this.shed();
  }

  /** Releases all memory of a closed connection. */
  remove(holder: CallerHolder): void {
    this.change(holder, -holder.bytes);
    this.holders.delete(holder);
    this.paused.delete(holder);
  }

  /** Whether nothing more is to be read from callers for now. */
  private get isShort(): boolean {
    return this.budget.isShort && this.excessBytes > 0;
  }

  /** Bytes that callers are to release under shortage. */
  private get excessBytes(): number {
    const { budget, heldBytes } = this;
    return Math.min(budget.excessBytes, heldBytes - budget.maxBytes * guaranteedShare);
  }

  private pause(holder: CallerHolder): void {
    holder.gate.pause(memoryShort);
    this.paused.add(holder);
    this.timer ??= setInterval(() => this.check(), checkMs).unref();
  }

  private check(): void {
    if (this.isShort) {
      this.shortChecks += 1;
      if (this.shortChecks > maxShortChecks) this.shed();
    }
    if (!this.isShort) this.resumeSome();
    if (this.paused.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Resumes as many connections as there is room for one read of each, longest paused first. */
  private resumeSome(): void {
    this.shortChecks = 0;
    let left = Math.ceil((this.budget.maxBytes - this.budget.usedBytes) / readBytes);
    for (const holder of this.paused) {
      if (left <= 0) return;
      left -= 1;
      this.paused.delete(holder);
      holder.gate.resume(memoryShort);
    }
  }

  private shed(): void {
    const { excessBytes } = this;
    if (this.isShedding || excessBytes < this.budget.maxBytes * minShedShare) return;
    this.isShedding = true;
    this.shortChecks = 0;
    const now = this.clock.now();
    const holders = [...this.holders].map((holder) => ({
      holder,
      bytes: holder.bytes,
      workspace: holder.workspace,
      stalledFor: now - holder.progressAt,
    }));
    selectShed(holders, excessBytes).forEach(({ holder }) => holder.shed());
    this.isShedding = false;
  }
}
