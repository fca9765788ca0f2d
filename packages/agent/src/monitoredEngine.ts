import { OrderKind } from '@laburnumstream/common';
import type {
  Clock,
  EngineOrder,
  Generation,
  LoadReport,
  ModelEngine,
  Token,
} from '@laburnumstream/common';
import { markColdAfterFailure } from './markColdAfterFailure.js';
import type { EndpointGate } from './endpointGate.js';

/** Model engine client that reports progress, latency and signs of a restart to the gate. */
export class MonitoredEngine implements ModelEngine {
  constructor(
    private readonly engine: ModelEngine,
    private readonly gate: EndpointGate,
    private readonly clock: Clock,
  ) {}

  async *generate(generation: Generation, signal: AbortSignal): AsyncIterable<Token> {
    const { gate, clock } = this;
    const { epoch } = gate;
    const startedAt = clock.now();
    let isFirst = true;
    try {
      // Hot path: allocates nothing per token.
      for await (const token of this.engine.generate(generation, signal)) {
        if (isFirst) gate.recordFirstToken(clock.now() - startedAt);
        isFirst = false;
        gate.recordProgress(epoch);
        yield token;
      }
    } catch (error) {
      markColdAfterFailure(gate, error, signal);
      throw error;
    }
  }

  cancel(id: string, signal?: AbortSignal): Promise<void> {
    return this.engine.cancel(id, signal);
  }

  getLoadReport(signal?: AbortSignal): Promise<LoadReport> {
    return this.engine.getLoadReport(signal);
  }

  /** Loading weights leaves the engine cold: the limit is lowered before the order and after it. */
  async order(order: EngineOrder, signal?: AbortSignal): Promise<void> {
    if (order.kind !== OrderKind.load || order.manifest?.kind === 'adapter') {
      await this.engine.order(order, signal);
      return;
    }
    this.gate.markCold('order');
    try {
      await this.engine.order(order, signal);
    } finally {
      this.gate.markCold('order');
    }
  }
}
