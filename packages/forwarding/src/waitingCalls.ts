import type { EndpointCall } from './endpointCall.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointHandle } from './endpointHandle.js';

/** Interval of checks while calls wait at engines with an outdated version, in milliseconds. */
const checkIntervalMs = 20;

/**
 * The calls that wait at engines for their start. How long an engine's queue, or an instance that stands still,
 * delays a start is not known when a request is sent, so calls that could start on a version whose time is over are
 * withdrawn before that.
 */
export class WaitingCalls {
  private readonly handles = new Map<EndpointCall, EndpointHandle>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly directory: Pick<EndpointDirectory, 'outdatedMs' | 'mayStart'>) {}

  add(call: EndpointCall, handle: EndpointHandle): void {
    this.handles.set(call, handle);
    if (this.directory.outdatedMs(handle) >= 0) this.scheduleCheck();
  }

  remove(call: EndpointCall): void {
    this.handles.delete(call);
  }

  /** To be called after a change of the fleet, with which a version may have become outdated. */
  refresh(): void {
    const handles = new Set(this.handles.values());
    if ([...handles].some((handle) => this.directory.outdatedMs(handle) >= 0)) this.scheduleCheck();
  }

  private scheduleCheck(): void {
    this.timer ??= setTimeout(() => this.check(), checkIntervalMs).unref();
  }

  private check(): void {
    this.timer = undefined;
    this.handles.forEach((handle, call) => {
      if (call.hasContent) this.remove(call);
      else if (!this.directory.mayStart(handle)) this.withdraw(call);
    });
    this.refresh();
  }

  private withdraw(call: EndpointCall): void {
    this.remove(call);
    call.withdraw('The version of the endpoint may be used no longer.');
  }
}
