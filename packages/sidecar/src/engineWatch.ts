import { createTimeoutSignal, toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import type { EngineState, LocalEngine } from './localEngine.js';

/** Time between two questions, in milliseconds. */
const pollMs = 150;
/** Time after which an answer is not waited for any more, in milliseconds. */
const answerTimeoutMs = 400;
/** Questions without an answer after which the engine counts as not answering. */
const mostMisses = 2;

/** Asks the engine for its state again and again. */
export class EngineWatch {
  private last: EngineState | undefined;

  private misses = 0;

  constructor(
    private readonly engine: LocalEngine,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
    private readonly onState: () => void,
  ) {}

  /** The last state that it told; undefined before the first answer. */
  get state(): EngineState | undefined {
    return this.last;
  }

  get isAnswering(): boolean {
    return this.last !== undefined && this.misses < mostMisses;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.ask(signal);
      this.onState();
      await this.clock.sleep(pollMs, signal).catch(() => undefined);
    }
  }

  /** Asks once, outside the usual turn. */
  async ask(signal: AbortSignal): Promise<void> {
    try {
      const limit = createTimeoutSignal(answerTimeoutMs, signal);
      const state = await this.engine.state(limit);
      if (this.last && state.bornAt !== this.last.bornAt) {
        this.log.info('The engine has restarted.', { bornAt: state.bornAt });
      }
      if (this.misses >= mostMisses) this.log.info('The engine answers again.');
      this.misses = 0;
      this.last = state;
    } catch (error) {
      this.misses += 1;
      this.metrics.count('engine_questions_failed');
      if (this.misses === mostMisses) {
        const { type, message } = toFailure(error);
        this.log.warn('The engine does not answer.', { type, reason: message });
      }
    }
  }
}
