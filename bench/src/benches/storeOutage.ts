import { setTimeout as sleep } from 'node:timers/promises';
import { Balancer } from '../balancer.js';
import type { BenchRun, Measurement } from '../figure.js';
import { reportFailures } from '../failureReport.js';
import { Fleet } from '../fleet.js';
import { smallFleet } from '../fleetShape.js';
import { SteadyLoad } from '../steadyLoad.js';
import { warmUp } from '../warmUp.js';

const perSecond = 40;
const maxTokens = 10;
const service = 'assistant';
const baselineMs = 2_000;
const longOutageMs = 15_000;
const shortOutageMs = 4_000;
const engine = { prefillMs: 10, tokenMs: 5 };

/** Requests and configuration changes served while the platform's key-value service is down. */
export async function storeOutage({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const fleet = await Fleet.start(smallFleet, { engine, logLevel: 'warn' });
  const balancer = await new Balancer(fleet.entries).start();
  try {
    const request = (index: number) => balancer.complete(service, `order ${index}`, { maxTokens });
    await warmUp(fleet, balancer, service);
    const load = new SteadyLoad(perSecond, request);
    await sleep(baselineMs);
    const from = performance.now();
    fleet.keyValue.faults.down = true;
    await sleep(quick ? shortOutageMs : longOutageMs);
    const change = await fleet.admin('POST', 'data-centres/south-a/take-out', { reason: 'bench' });
    const to = performance.now();
    fleet.keyValue.faults.down = false;
    const outcomes = await load.stop();
    const during = outcomes.filter(({ startedAt }) => startedAt >= from && startedAt < to);
    reportFailures(during.filter(({ isComplete }) => !isComplete));
    const served = during.filter(({ isComplete }) => isComplete).length;
    return [
      { name: 'idempotent_served', value: served / during.length },
      { name: 'idempotent_requests', value: during.length, unit: 'count' },
      { name: 'change_status', value: change.status, unit: 'http_status' },
    ];
  } finally {
    await balancer.stop();
    await fleet.close();
  }
}
