import { OrderKind } from '@laburnumstream/common';
import type {
  Clock,
  EngineOrder,
  Generation,
  LoadReport,
  ModelEngine,
  Token,
} from '@laburnumstream/common';
import { watchFailure } from './coldSigns.js';
import type { EndpointGate } from './endpointGate.js';

/** Tells the gate of an engine's signs of life and of restarts. */
export class WatchedEngine implements ModelEngine {
  constructor(
    private readonly engine: ModelEngine,
    private readonly gate: EndpointGate,
    private readonly clock: Clock,
  ) {}

  async *generate(generation: Generation, signal: AbortSignal): AsyncIterable<Token> {
    const { gate, clock } = this;
    const { epoch } = gate;
    const started = clock.now();
    let isFirst = true;
    try {
      // Hot path: no allocation of its own for each token.
      for await (const token of this.engine.generate(generation, signal)) {
        if (isFirst) gate.firstToken(clock.now() - started);
        isFirst = false;
        gate.progress(epoch);
        yield token;
      }
    } catch (error) {
      watchFailure(gate, error, signal);
      throw error;
    }
  }

  cancel(id: string, signal?: AbortSignal): Promise<void> {
    return this.engine.cancel(id, signal);
  }

  getLoadReport(signal?: AbortSignal): Promise<LoadReport> {
    return this.engine.getLoadReport(signal);
  }

  /** New weights leave the engine cold: the limit falls before the order and after it. */
  async order(order: EngineOrder, signal?: AbortSignal): Promise<void> {
    if (order.kind !== OrderKind.load || order.manifest?.kind === 'adapter') {
      await this.engine.order(order, signal);
      return;
    }
    this.gate.turnCold('order');
    try {
      await this.engine.order(order, signal);
    } finally {
      this.gate.turnCold('order');
    }
  }
}
