import { setTimeout as sleep } from 'node:timers/promises';
import { HttpModelEngine } from '@laburnumstream/clients';
import { Caller } from '../caller.js';
import type { BenchRun, Measurement } from '../figure.js';
import { Fleet } from '../fleet.js';
import { smallFleet } from '../fleetShape.js';
import { runOpenLoad } from '../openLoad.js';
import { percentile } from '../percentile.js';
import { cpuSeconds, residentMB } from '../processUsage.js';

const perSecond = 200;
const idleMs = 5_000;
const percent = 100;
const secondMs = 1_000;
const warmUpRequests = 1_000;

async function measureDirect(engine: HttpModelEngine, index: number): Promise<number> {
  const started = performance.now();
  const generation = {
    id: `direct-${index}`,
    prompt: `p${index}`,
    maxTokens: 1,
    priority: 0,
    resumeFrom: 0,
  };
  for await (const token of engine.generate(generation, new AbortController().signal)) void token;
  return performance.now() - started;
}

async function measureIdleCpu(pid: number): Promise<number> {
  const before = cpuSeconds(pid);
  const started = performance.now();
  await sleep(idleMs);
  return ((cpuSeconds(pid) - before) / ((performance.now() - started) / secondMs)) * percent;
}

/** Latency that entry and agent add over a direct call of the endpoint, and their idle cost. */
export async function path({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const requests = quick ? 1_000 : 4_000;
  const engine = { capacity: 256, coldCapacity: 256 };
  const fleet = await Fleet.start(smallFleet, { engine, logLevel: 'warn' });
  try {
    const [entry] = fleet.entries;
    const [agent] = fleet.agents;
    const caller = new Caller(entry!.callerUrl);
    const target = new HttpModelEngine(agent!.engine!.address, secondMs);
    const measureRouted = async (index: number) =>
      (await caller.complete('assistant', `p${index}`, { maxTokens: 1 })).totalMs;
    await runOpenLoad(perSecond, warmUpRequests, measureRouted);
    await runOpenLoad(perSecond, warmUpRequests, (index) => measureDirect(target, index));
    const direct = await runOpenLoad(perSecond, requests, (index) => measureDirect(target, index));
    const routed = await runOpenLoad(perSecond, requests, measureRouted);
    await caller.close();
    await sleep(secondMs);
    const [entryCpu, agentCpu] = await Promise.all([
      measureIdleCpu(entry!.process.pid),
      measureIdleCpu(agent!.process.pid),
    ]);
    const added = (share: number) => percentile(routed, share) - percentile(direct, share);
    return [
      { name: 'added_latency_p50', value: added(0.5) },
      { name: 'added_latency_p99', value: added(0.99) },
      { name: 'idle_cpu_entry', value: entryCpu },
      { name: 'idle_cpu_agent', value: agentCpu },
      { name: 'rss_entry', value: residentMB(entry!.process.pid) },
      { name: 'rss_agent', value: residentMB(agent!.process.pid) },
    ];
  } finally {
    await fleet.close();
  }
}
