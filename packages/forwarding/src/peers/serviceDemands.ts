import type { AdaptiveServices } from '../placement/adaptiveServices.js';
import { ServiceDemandState } from './serviceDemandState.js';

/** The demand on each adaptive service. */
export class ServiceDemands {
  private readonly states = new Map<string, ServiceDemandState>();

  constructor(private readonly adaptive: Pick<AdaptiveServices, 'has'>) {}

  /** Returns the state of a service; undefined if it is not adaptive. */
  get(service: string): ServiceDemandState | undefined {
    if (!this.adaptive.has(service)) return undefined;
    let state = this.states.get(service);
    if (!state) {
      state = new ServiceDemandState();
      this.states.set(service, state);
    }
    return state;
  }

  /** States by service; those of services that are no longer adaptive are dropped. */
  get all(): ReadonlyMap<string, ServiceDemandState> {
    this.states.forEach((_state, service) => {
      if (!this.adaptive.has(service)) this.states.delete(service);
    });
    return this.states;
  }
}
