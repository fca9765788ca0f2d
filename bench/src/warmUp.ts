import type { Balancer } from './balancer.js';
import type { Fleet } from './fleet.js';
import { SteadyLoad } from './steadyLoad.js';

/** Request rate that endpoints sustain just after a cold start. */
const perSecond = 10;
const timeoutMs = 40_000;

/** Sends a low load until every engine of a service is warm. */
export async function warmUp(fleet: Fleet, balancer: Balancer, service: string): Promise<void> {
  const engines = fleet.agents
    .filter((agent) => agent.service === service)
    .flatMap(({ engine }) => engine ?? []);
  const load = new SteadyLoad(perSecond, (index) =>
    balancer.complete(service, `warm-up ${index}`, { maxTokens: 4 }),
  );
  const isWarm = (): boolean => engines.every(({ isCold }) => !isCold);
  await fleet.waitUntil(isWarm, 'all engines are warm', timeoutMs);
  await load.stop();
}
