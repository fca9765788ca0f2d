import { createTimeoutSignal, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import type { EngineState, LocalEngine } from './localEngine.js';

/** Time between two polls, in milliseconds. */
const pollIntervalMs = 240;
/** The same until the engine has responded for the first time, as both may have just started. */
const firstPollIntervalMs = 60;
/** Timeout of one poll, in milliseconds. */
const pollTimeoutMs = 400;
/** Consecutive failed polls after which the engine counts as not answering. */
const maxFailedPolls = 2;

/** Polls the state of the local engine. */
export class EngineMonitor {
  private lastState: EngineState | undefined;

  private failedPolls = 0;

  /** Monotonic time at which the last successful poll began, in milliseconds. */
  private answeredAt = -Infinity;

  constructor(
    private readonly engine: LocalEngine,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
    /** Called after each regular poll, whether it succeeded or not. */
    private readonly onPolled: () => void,
  ) {}

  /** State from the last successful poll; undefined before the first one. */
  get state(): EngineState | undefined {
    return this.lastState;
  }

  get isAnswering(): boolean {
    return this.lastState !== undefined && this.failedPolls < maxFailedPolls;
  }

  /** Time since the last successful poll began, in milliseconds. */
  get answeredMsAgo(): number {
    return this.clock.now() - this.answeredAt;
  }

  /** Polls until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll(signal);
      this.onPolled();
      const intervalMs = this.lastState ? pollIntervalMs : firstPollIntervalMs;
      await this.clock.sleep(intervalMs, signal).catch(() => undefined);
    }
  }

  /** Polls once, independently of the regular interval. */
  async poll(signal: AbortSignal): Promise<void> {
    const calledAt = this.clock.now();
    try {
      const pollSignal = createTimeoutSignal(pollTimeoutMs, signal);
      const state = await this.engine.getState(pollSignal);
      if (this.lastState && state.bornAt !== this.lastState.bornAt) {
        this.log.info('The engine has restarted.', { bornAt: state.bornAt });
      }
      if (this.failedPolls >= maxFailedPolls) this.log.info('The engine responds again.');
      this.failedPolls = 0;
      this.answeredAt = calledAt;
      this.lastState = state;
    } catch (error) {
      this.failedPolls += 1;
      this.metrics.count('engine_questions_failed');
      if (this.failedPolls === maxFailedPolls) {
        const { type, message } = toFailure(error);
        this.log.warn('The engine does not respond.', { type, reason: message });
      }
    }
  }
}
