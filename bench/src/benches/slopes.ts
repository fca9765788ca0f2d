import { setTimeout as sleep } from 'node:timers/promises';
import { Caller } from '../caller.js';
import type { BenchRun, Measurement } from '../figure.js';
import { Fleet } from '../fleet.js';
import { smallFleet } from '../fleetShape.js';
import { fitLine } from '../linearFit.js';
import type { Point } from '../linearFit.js';
import { runOpenLoad } from '../openLoad.js';
import { cpuSeconds, residentMB } from '../processUsage.js';
import { target } from '../target.js';

const secondMs = 1_000;
const microsecondsPerSecond = 1_000_000;
const kilobytesPerMB = 1_024;
const percent = 100;
const requestRates = [20, 40, 80] as const;
const tokenCounts = [32, 96, 192] as const;
const streamCounts = [40, 80, 160] as const;
const tokenRate = 20;
/** Time between tokens in the token series; at 0, frames would carry many tokens each. */
const pacedTokenMs = 5;
const singleToken = 1;
const streamTokens = 400;
const streamTokenMs = 20;
const windowSeconds = 8;
const quickWindowSeconds = 3;

/** CPU time of the entry and of all engine agents, in seconds. */
interface Usage {
  readonly entry: number;
  readonly agents: number;
}

/** Measures one entry and its agents under given loads. */
class SlopeRun {
  private readonly caller: Caller;

  private requests = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly seconds: number,
  ) {
    this.caller = new Caller(fleet.entries[0]!.callerUrl);
  }

  /** CPU seconds per second of entry and agents at a request rate with `maxTokens` each. */
  async measureRate(perSecond: number, maxTokens: number): Promise<Usage> {
    const before = this.readUsage();
    const started = performance.now();
    await runOpenLoad(perSecond, perSecond * this.seconds, () => this.complete(maxTokens));
    const elapsed = (performance.now() - started) / secondMs;
    const after = this.readUsage();
    return {
      entry: (after.entry - before.entry) / elapsed,
      agents: (after.agents - before.agents) / elapsed,
    };
  }

  /** Memory of the entry in MB while `count` responses stream. */
  async measureMemory(count: number): Promise<number> {
    const streams = Array.from({ length: count }, () => this.complete(streamTokens));
    await sleep((streamTokens * streamTokenMs) / 2);
    const memory = residentMB(this.fleet.entries[0]!.process.pid);
    await Promise.all(streams);
    return memory;
  }

  close(): Promise<void> {
    return this.caller.close();
  }

  private complete(maxTokens: number): Promise<unknown> {
    this.requests += 1;
    return this.caller.complete('assistant', `slope ${this.requests}`, { maxTokens });
  }

  private readUsage(): Usage {
    const engines = this.fleet.agents.filter(({ engine }) => engine);
    const agents = engines.map(({ process }) => cpuSeconds(process.pid));
    return {
      entry: cpuSeconds(this.fleet.entries[0]!.process.pid),
      agents: agents.reduce((sum, seconds) => sum + seconds, 0),
    };
  }
}

async function measureSeries(
  sizes: readonly number[],
  measure: (size: number) => Promise<Usage>,
): Promise<{ entry: Point[]; agents: Point[] }> {
  const entry: Point[] = [];
  const agents: Point[] = [];
  for (const size of sizes) {
    const usage = await measure(size);
    entry.push({ x: size, y: usage.entry });
    agents.push({ x: size, y: usage.agents });
  }
  return { entry, agents };
}

const engine = { capacity: 512, coldCapacity: 512, tokenMs: 0 };
const policy = { coldLimit: 512, maxLimit: 512, maxQueue: 512 };

async function withFleet<Result>(
  tokenMs: number,
  seconds: number,
  measure: (run: SlopeRun) => Promise<Result>,
): Promise<Result> {
  const fleet = await Fleet.start(smallFleet, { engine: { ...engine, tokenMs }, logLevel: 'warn' });
  try {
    await fleet.admin('POST', 'configuration', { reason: 'bench', defaults: policy });
    await sleep(secondMs);
    const run = new SlopeRun(fleet, seconds);
    await run.measureRate(requestRates[2], singleToken);
    const result = await measure(run);
    await run.close();
    return result;
  } finally {
    await fleet.close();
  }
}

/** Cost of a request, a token and an open stream in entry and agent, extrapolated to the target. */
export async function slopes({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const seconds = quick ? quickWindowSeconds : windowSeconds;
  const requests = await withFleet(0, seconds, (run) =>
    measureSeries(requestRates, (rate) => run.measureRate(rate, singleToken)),
  );
  const tokens = await withFleet(pacedTokenMs, seconds, (run) =>
    measureSeries(tokenCounts, (count) => run.measureRate(tokenRate, count)),
  );
  const memory = await withFleet(streamTokenMs, seconds, async (run) => {
    const points: Point[] = [];
    for (const x of streamCounts) points.push({ x, y: await run.measureMemory(x) });
    return points;
  });
  const perRequest = fitLine(requests.entry).slope;
  const perToken = fitLine(tokens.entry).slope / tokenRate;
  const agentPerRequest = fitLine(requests.agents).slope;
  const agentPerToken = fitLine(tokens.agents).slope / tokenRate;
  const { nodes, engines, requestsPerSecond, tokensPerSecond } = target;
  const entryCpu = (requestsPerSecond * perRequest + tokensPerSecond * perToken) / nodes;
  const agentCpu =
    (requestsPerSecond * agentPerRequest + tokensPerSecond * agentPerToken) / engines;
  const micro = (value: number): number => value * microsecondsPerSecond;
  return [
    { name: 'entry_cpu_per_request', value: micro(perRequest), unit: 'us' },
    { name: 'entry_cpu_per_token', value: micro(perToken), unit: 'us' },
    { name: 'agent_cpu_per_request', value: micro(agentPerRequest), unit: 'us' },
    { name: 'agent_cpu_per_token', value: micro(agentPerToken), unit: 'us' },
    {
      name: 'entry_memory_per_stream',
      value: fitLine(memory).slope * kilobytesPerMB,
      unit: 'KB',
    },
    { name: 'entry_data_cpu_at_target', value: entryCpu * percent, unit: 'percent_of_core' },
    { name: 'agent_data_cpu_at_target', value: agentCpu * percent, unit: 'percent_of_core' },
  ];
}
