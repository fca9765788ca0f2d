import { EndpointHealth } from '@laburnumstream/decisions';

/** Health of endpoints that have left: some come back and fail again. */
export class FormerHealth {
  private readonly byId = new Map<string, EndpointHealth>();

  /** Keeps the health of an endpoint that has left. */
  keep(id: string, health: EndpointHealth): void {
    this.byId.set(id, health);
  }

  /** Returns the health for a new endpoint; one that was registered before counts as restarted. */
  restore(id: string, now: number): EndpointHealth {
    const health = this.byId.get(id);
    if (!health) return new EndpointHealth();
    this.byId.delete(id);
    health.recordRestart(now);
    return health;
  }

  /** Forgets endpoints whose last outage no longer counts. */
  prune(now: number): void {
    this.byId.forEach((health, id) => {
      if (!health.hasRecentOutage(now)) this.byId.delete(id);
    });
  }
}
