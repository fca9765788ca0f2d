import type { Clock, Log, Metrics } from '@laburnumstream/common';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { StartBounds } from '../endpoints/startBounds.js';

/** Time before the end of an outdated version's use from which each request on it is logged, in milliseconds. */
const loggedBeforeEndMs = 2_000;

/** Records at which age of an outdated version a request is sent to an endpoint, and begins there. */
export class OutdatedUse {
  private readonly version: number | undefined;

  private readonly placedAt: number;

  constructor(
    private readonly id: string,
    private readonly handle: EndpointHandle,
    private readonly bounds: Pick<StartBounds, 'outdatedMs' | 'versionGraceMs'>,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.version = handle.version;
    this.placedAt = clock.now();
  }

  /** Records that the request is about to be written to its connection. */
  recordSend(): void {
    this.metrics.observe('connection_wait', this.clock.now() - this.placedAt);
    this.record('send');
  }

  /** Records that the endpoint has sent the first event. */
  recordFirstEvent(): void {
    this.record('first_event');
  }

  private record(step: 'send' | 'first_event'): void {
    const { id, handle, bounds, version, placedAt } = this;
    if (version === undefined) return;
    const now = this.clock.now();
    const outdatedMs = bounds.outdatedMs(handle, version);
    if (outdatedMs < 0) return;
    this.metrics.observe('outdated_age', outdatedMs, { step });
    const leftMs = bounds.versionGraceMs - outdatedMs;
    if (leftMs < 0) this.metrics.count('outdated_uses_late', { step });
    if (leftMs > loggedBeforeEndMs) return;
    this.log.info('Outdated version used.', {
      id,
      endpoint: handle.id,
      step,
      version,
      outdatedMs: Math.round(outdatedMs),
      leftMs: Math.round(leftMs),
      sincePlacementMs: Math.round(now - placedAt),
      occupied: handle.load.outstanding(now),
      slots: handle.slots,
      reportAgeMs: Math.round(handle.load.reportAgeMs(now)),
    });
  }
}
