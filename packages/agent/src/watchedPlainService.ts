import type { LoadReport, PlainResponse, PlainCall, PlainService } from '@laburnumstream/common';
import { watchFailure } from './coldSigns.js';
import type { EndpointGate } from './endpointGate.js';

/** Tells the gate of a plain service's signs of restarts. */
export class WatchedPlainService implements PlainService {
  constructor(
    private readonly service: PlainService,
    private readonly gate: EndpointGate,
  ) {}

  async call(call: PlainCall, signal: AbortSignal): Promise<PlainResponse> {
    try {
      return await this.service.call(call, signal);
    } catch (error) {
      watchFailure(this.gate, error, signal);
      throw error;
    }
  }

  getLoadReport(signal?: AbortSignal): Promise<LoadReport> {
    return this.service.getLoadReport(signal);
  }
}
