import type { FleetConfiguration } from '@laburnumstream/common';

/** Services whose routes have different priorities. */
function findCompeting({ routes }: FleetConfiguration): Set<string> {
  const priorities = new Map<string, number>();
  const competing = new Set<string>();
  routes.forEach(({ priority, targets }) =>
    targets.forEach(({ service }) => {
      if ((priorities.get(service) ?? priority) !== priority) competing.add(service);
      priorities.set(service, priority);
    }),
  );
  return competing;
}

/**
 * The services to which adaptive admission applies: their requests compete, as their routes have different
 * priorities, or their endpoints are uneven, as they state how long work takes on their instance at the moment.
 */
export class AdaptiveServices {
  private competing: ReadonlySet<string> = new Set();

  private readonly uneven = new Set<string>();

  /** Services of which an endpoint has responded since the start of this process. */
  private readonly heard = new Set<string>();

  /** Applies a configuration. */
  update(configuration: FleetConfiguration): void {
    this.competing = findCompeting(configuration);
  }

  /** Records that an endpoint of a service has responded. */
  recordResponse(service: string): void {
    this.heard.add(service);
  }

  /** Records that an endpoint of a service has stated the pace of its instance. */
  recordStatedPace(service: string): void {
    this.uneven.add(service);
  }

  /**
   * Whether adaptive admission may apply to a service: an entry that has just started does not know yet what the
   * endpoints state.
   */
  mayApply(service: string): boolean {
    return this.has(service) || !this.heard.has(service);
  }

  has(service: string): boolean {
    return this.competing.has(service) || this.uneven.has(service);
  }
}
