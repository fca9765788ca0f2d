import type { Endpoint, Log, Metrics } from '@laburnumstream/common';
import { Misdirections, isProof } from '@laburnumstream/decisions';
import type { EndpointHandle } from './endpointHandle.js';

/**
 * Endpoints of which a response has shown that they are not what is registered: another one has the address, or an
 * engine holds no weights. It counts until the engine's agent reports or the endpoint is registered anew.
 */
export class MisdirectedEndpoints {
  private readonly misdirections = new Misdirections();

  /** Monotonic times at which this entry learnt of the registrations, in milliseconds. */
  private readonly registeredAt = new WeakMap<EndpointHandle, number>();

  constructor(
    private readonly metrics: Metrics,
    private readonly log?: Log,
  ) {}

  /** Records such a response of an endpoint to this entry, or to a peer that has told of it. */
  record(handle: EndpointHandle, now: number, isOwn = true): void {
    const { id, incarnation, endpoint, model, lastSignOfLifeAt, load } = handle;
    const isEngine = model !== undefined;
    if (isEngine) Object.assign(handle, { reportedVersion: 0 });
    // What a peer has told is not passed on, as it would come back from there without end.
    if (isEngine && isOwn) Object.assign(handle, { missingWeightsSince: now });
    if (!this.misdirections.record(incarnation, endpoint.service, isEngine, now)) return;
    this.metrics.count('endpoints_misdirected', { service: endpoint.service });
    this.log?.info('Endpoint is not the registered one.', {
      endpoint: id,
      service: endpoint.service,
      layers: endpoint.layers?.to ?? 0,
      signOfLifeAgeMs: Math.round(now - lastSignOfLifeAt),
      reportAgeMs: Math.round(load.reportAgeMs(now)),
    });
  }

  /** Whether an endpoint gets no request for such a response of its own. */
  isExcluded(handle: EndpointHandle, now: number): boolean {
    if (handle.model) return this.isUnheard(handle, now);
    return this.misdirections.isExcluded(handle.incarnation, now);
  }

  /** Whether an endpoint gets no request for such a response, or for that of another while it shows no sign of life. */
  has(handle: EndpointHandle, now: number): boolean {
    if (this.isExcluded(handle, now)) return true;
    if (MisdirectedEndpoints.isProven(handle, now)) return false;
    const registeredAt = this.registeredAt.get(handle) ?? -Infinity;
    return this.misdirections.isDoubted(handle.endpoint.service, registeredAt, now);
  }

  /** Whether an endpoint has lately shown that it runs; only engines are expected to without a request. */
  static isProven({ model, lastSignOfLifeAt }: EndpointHandle, now: number): boolean {
    return !model || isProof(lastSignOfLifeAt, now);
  }

  /** Lets endpoints be tried again whose exclusion is over without other news of them. */
  releaseDue(find: (incarnation: string) => EndpointHandle | undefined, now: number): void {
    if (this.misdirections.size === 0) return;
    this.misdirections.takeDue(now).forEach((incarnation) => {
      const handle = find(incarnation);
      if (handle) this.release(handle, now);
      else this.misdirections.forget(incarnation);
    });
  }

  /** Records that this entry has learnt of the registration of an endpoint. */
  recordRegistration(handle: EndpointHandle, now: number): void {
    this.registeredAt.set(handle, now);
  }

  /** Records that a request is placed on an endpoint. */
  recordPlacement(handle: EndpointHandle, now: number): void {
    if (MisdirectedEndpoints.isProven(handle, now)) return;
    this.misdirections.recordProbe(handle.endpoint.service, now);
  }

  /** Lets an endpoint be used again that is registered with other layers than before. */
  applyRegistration(handle: EndpointHandle, { layers }: Endpoint, now: number): void {
    const known = handle.endpoint.layers;
    const isSame =
      known?.version === layers?.version &&
      known?.from === layers?.from &&
      known?.to === layers?.to;
    if (isSame) return;
    this.release(handle, now);
    this.recordRegistration(handle, now);
  }

  private release(handle: EndpointHandle, now: number): void {
    if (this.isUnheard(handle, now)) Object.assign(handle, { reportedVersion: undefined });
    Object.assign(handle, { missingWeightsSince: undefined });
    this.misdirections.release(handle.incarnation);
  }

  /** Whether such a response is the last news of an engine's weights. */
  private isUnheard({ incarnation, reportedVersion, load }: EndpointHandle, now: number): boolean {
    const at = this.misdirections.misdirectedAt(incarnation);
    return at !== undefined && reportedVersion === 0 && now - load.reportAgeMs(now) <= at;
  }
}
