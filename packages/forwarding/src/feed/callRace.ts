import { setTimeout as pause } from 'node:timers/promises';
import { HistoryLost, operationEnded } from '@laburnumstream/common';

/** Longest pause before it is checked again whether the next call of a series is due, in milliseconds. */
const maxPauseMs = 50;

/** Signal and callbacks that a race gives to each of its calls. */
export interface RacingCall {
  /** Fires when the answer of the call no longer counts. */
  readonly signal: AbortSignal;
  /** To be called with each part of the response. */
  readonly onProgress: () => void;
  /** To be called as soon as the response is whole, before anything is done with it; throws if another one was first. */
  readonly claim: () => void;
}

/** Starts a call; it must claim its response. */
export type CallStart<Content> = (call: RacingCall) => Promise<Content>;

/** Calls that are repeated until one is answered. */
export interface CallSeries<Content> {
  /** Returns the time between the starts of two calls, in milliseconds. */
  readonly getIntervalMs: () => number;
  /** Whether a call may start now. */
  readonly isDue?: () => boolean;
  /** Whether a call may start while the ones before are not answered, as their connections may be dead. */
  readonly overlaps: boolean;
  readonly start: CallStart<Content>;
}

/** Settles the promise of a race. */
interface Settle<Content> {
  readonly resolve: (content: Content) => void;
  readonly reject: (error: unknown) => void;
}

/** Concurrent calls of which the first answer counts; the others are aborted. */
export class CallRace<Content> {
  private readonly over = new AbortController();

  /** Fires when the race or its owner ends. */
  private readonly signal: AbortSignal;

  /** The series of each call in progress, by the controller that aborts it. */
  private readonly running = new Map<AbortController, CallStart<Content>>();

  /** The call whose response is arriving, by series. */
  private readonly receiving = new Map<CallStart<Content>, AbortController>();

  private winner: AbortController | undefined;

  private hasFirst = false;

  constructor(owner?: AbortSignal) {
    this.signal = owner ? AbortSignal.any([owner, this.over.signal]) : this.over.signal;
  }

  /**
   * Resolves with the first answer. Rejects when the owner's signal fires and with the failure of `first`; without one,
   * a lost history is an answer, too.
   */
  async run(series: readonly CallSeries<Content>[], first?: CallStart<Content>): Promise<Content> {
    try {
      return await new Promise<Content>((resolve, reject) => {
        const stop = (): void => reject(operationEnded);
        if (this.signal.aborted) stop();
        this.signal.addEventListener('abort', stop, { once: true });
        const settle = { resolve, reject };
        this.hasFirst = first !== undefined;
        if (first) void this.call(first, settle, true);
        series.forEach((each) => void this.runSeries(each, settle));
      });
    } finally {
      this.over.abort();
    }
  }

  private async runSeries(
    { getIntervalMs, isDue = () => true, overlaps, start }: CallSeries<Content>,
    settle: Settle<Content>,
  ): Promise<void> {
    let dueAt = performance.now();
    while (!this.signal.aborted) {
      const leftMs = dueAt - performance.now();
      if (leftMs > 0) {
        const { signal } = this;
        await pause(Math.min(leftMs, maxPauseMs), undefined, { signal }).catch(() => undefined);
      } else if (this.receiving.has(start) || !isDue()) {
        // More copies of a large response would only slow it down.
        dueAt = performance.now() + maxPauseMs;
      } else {
        const startedAt = performance.now();
        const call = this.call(start, settle);
        if (!overlaps) await call;
        dueAt = startedAt + getIntervalMs();
      }
    }
  }

  private async call(
    start: CallStart<Content>,
    { resolve, reject }: Settle<Content>,
    isRequired = false,
  ): Promise<void> {
    const abort = new AbortController();
    this.running.set(abort, start);
    try {
      const signal = AbortSignal.any([this.signal, abort.signal]);
      const onProgress = (): void => this.receive(start, abort);
      resolve(await start({ signal, onProgress, claim: () => this.claim(abort) }));
    } catch (error) {
      const isAnswer = error instanceof HistoryLost && !this.hasFirst;
      if (this.winner === abort || (!this.winner && (isAnswer || isRequired))) reject(error);
    } finally {
      this.running.delete(abort);
      if (this.receiving.get(start) === abort) this.receiving.delete(start);
    }
  }

  /** Aborts the other calls of a series, of which one is receiving its response. */
  private receive(start: CallStart<Content>, abort: AbortController): void {
    if (this.receiving.has(start)) return;
    this.receiving.set(start, abort);
    this.running.forEach((series, other) => {
      if (other !== abort && series === start) other.abort();
    });
  }

  private claim(abort: AbortController): void {
    if (this.signal.aborted || abort.signal.aborted) throw operationEnded;
    this.winner = abort;
    this.running.forEach((_series, other) => {
      if (other !== abort) other.abort();
    });
  }
}
