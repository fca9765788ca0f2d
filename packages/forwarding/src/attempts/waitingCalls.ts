import type { EndpointCall } from '../endpoints/endpointCall.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { StartBounds } from '../endpoints/startBounds.js';

/** Interval of checks while calls wait at endpoints at which they may not start for ever, in milliseconds. */
const checkIntervalMs = 20;

/**
 * The calls that wait at endpoints for their start. How long an endpoint's queue, or an instance that stands still,
 * delays a start is not known when a request is sent, so calls that could start later than they may are withdrawn
 * before that: on a version whose time is over, or at an endpoint that is to get no requests.
 */
export class WaitingCalls {
  private readonly handles = new Map<EndpointCall, EndpointHandle>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly bounds: Pick<StartBounds, 'hasBound' | 'mayStart'>) {}

  add(call: EndpointCall, handle: EndpointHandle): void {
    this.handles.set(call, handle);
    if (this.bounds.hasBound(handle)) this.scheduleCheck();
  }

  remove(call: EndpointCall): void {
    this.handles.delete(call);
  }

  /** To be called after a change of the fleet, with which a version may have become outdated. */
  refresh(): void {
    const handles = new Set(this.handles.values());
    if ([...handles].some((handle) => this.bounds.hasBound(handle))) this.scheduleCheck();
  }

  /** To be called after a report of an endpoint's agent, with which its version may have become outdated. */
  refreshAt(handle: EndpointHandle): void {
    if (this.handles.size > 0 && this.bounds.hasBound(handle)) this.scheduleCheck();
  }

  private scheduleCheck(): void {
    this.timer ??= setTimeout(() => this.check(), checkIntervalMs).unref();
  }

  private check(): void {
    this.timer = undefined;
    this.handles.forEach((handle, call) => {
      if (call.hasContent) this.remove(call);
      else if (!this.bounds.mayStart(handle)) this.withdraw(call);
    });
    this.refresh();
  }

  private withdraw(call: EndpointCall): void {
    this.remove(call);
    call.withdraw('The request may start at the endpoint no longer.');
  }
}
