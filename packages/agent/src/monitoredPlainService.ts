import type { LoadReport, PlainResponse, PlainCall, PlainService } from '@laburnumstream/common';
import { markColdAfterFailure } from './markColdAfterFailure.js';
import type { EndpointGate } from './endpointGate.js';

/** Plain service client that reports signs of a restart to the gate. */
export class MonitoredPlainService implements PlainService {
  constructor(
    private readonly service: PlainService,
    private readonly gate: EndpointGate,
  ) {}

  async call(call: PlainCall, signal: AbortSignal): Promise<PlainResponse> {
    try {
      return await this.service.call(call, signal);
    } catch (error) {
      markColdAfterFailure(this.gate, error, signal);
      throw error;
    }
  }

  getLoadReport(signal?: AbortSignal): Promise<LoadReport> {
    return this.service.getLoadReport(signal);
  }
}
