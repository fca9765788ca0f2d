import type { LoadReport, PlainAnswer, PlainCall, PlainService } from '@laburnumstream/common';
import { markColdAfterFailure } from './markColdAfterFailure.js';
import type { EndpointGate } from './endpointGate.js';

/** Plain service client that reports signs of a restart to the gate. */
export class MonitoredPlainService implements PlainService {
  constructor(
    private readonly service: PlainService,
    private readonly gate: EndpointGate,
  ) {}

  async call(call: PlainCall, signal: AbortSignal): Promise<PlainAnswer> {
    try {
      return await this.service.call(call, signal);
    } catch (error) {
      markColdAfterFailure(this.gate, error, signal);
      throw error;
    }
  }

  load(signal?: AbortSignal): Promise<LoadReport> {
    return this.service.load(signal);
  }
}
