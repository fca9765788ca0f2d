import { setTimeout as sleep } from 'node:timers/promises';
import { optionDefaults } from '@laburnumstream/common';
import type { BenchRun, Measurement } from '../figure.js';
import { Fleet, internalSecret } from '../fleet.js';
import type { FleetShape } from '../fleetShape.js';
import { ioBytes, cpuSeconds, residentMB } from '../processUsage.js';
import { SimulatedMembers } from '../simulatedMembers.js';
import type { SimulatedSize } from '../simulatedMembers.js';

const secondMs = 1_000;
const percent = 100;
const bytesPerKB = 1_024;
/** Time in which a new fleet settles: first reads of the instance list, first exchanges. */
const settleMs = 20_000;
/** The product reads the instance list often until other members are in it, then at this interval. */
const fleetOptions = { instanceListMs: optionDefaults.instanceListMs };
/** Long enough for about one read of the platform's instance list. */
const longWindowMs = 30_000;
const shortWindowMs = 3_000;
/** One restart every 10 s: 8,640 a day. */
const restartPauseMs = 10_000;

const places = Array.from({ length: 6 }, (_, index) => ({
  region: index % 2 === 0 ? 'north' : 'south',
  dataCentre: index === 0 ? 'north-a' : `dc-${index}`,
}));

const shape: FleetShape = {
  dataCentres: [{ name: 'north-a', region: 'north', entries: 1 }],
  services: [{ name: 'assistant', kind: 'engine', endpoints: [1] }],
  originRegion: 'north',
};

const target: SimulatedSize = { entries: 369, agents: 759 };
const sizes: Readonly<Record<string, SimulatedSize>> = {
  tenth: { entries: 36, agents: 75 },
  third: { entries: 122, agents: 252 },
  target,
};

/** Control-plane cost of one process: percent of a core, MB and KB/s. */
interface Cost {
  readonly cpu: number;
  readonly memory: number;
  readonly network: number;
}

async function measureCost(pid: number, windowMs: number): Promise<Cost> {
  const cpuBefore = cpuSeconds(pid);
  const bytesBefore = ioBytes(pid);
  const started = performance.now();
  await sleep(windowMs);
  const seconds = (performance.now() - started) / secondMs;
  return {
    cpu: ((cpuSeconds(pid) - cpuBefore) / seconds) * percent,
    memory: residentMB(pid),
    network: (ioBytes(pid) - bytesBefore) / seconds / bytesPerKB,
  };
}

/** Measures the cost of one real entry and one real agent in a fleet of the given size. */
async function measure(size: SimulatedSize, windowMs: number): Promise<[Cost, Cost]> {
  const fleet = await Fleet.start(shape, { optionOverrides: fleetOptions, logLevel: 'warn' });
  const abort = new AbortController();
  const { signal } = abort;
  try {
    const others = await new SimulatedMembers(size, places, internalSecret).start(signal);
    fleet.instanceList.set([...fleet.instanceList.instances, ...others.instances]);
    const [{ name, internalUrl, process: entry }] = fleet.entries as [(typeof fleet.entries)[0]];
    const [{ process: agent }] = fleet.agents as [(typeof fleet.agents)[0]];
    const real = { name, region: 'north', dataCentre: 'north-a', address: internalUrl };
    void others.sendTo(real, restartPauseMs, signal);
    await sleep(settleMs);
    return await Promise.all([measureCost(entry.pid, windowMs), measureCost(agent.pid, windowMs)]);
  } finally {
    abort.abort();
    await fleet.close();
  }
}

/** CPU, memory and network cost of the control plane by fleet size. */
export async function controlCost({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const figures: Measurement[] = [];
  const chosenSizes = Object.entries(quick ? { target } : sizes);
  const costs = await Promise.all(
    chosenSizes.map(([, size]) => measure(size, quick ? shortWindowMs : longWindowMs)),
  );
  chosenSizes.forEach(([name, size], index) => {
    const [entry, agent] = costs[index]!;
    const add = (figure: string, value: number, unit: string): number =>
      figures.push({ name: `${figure}_${name}`, value, unit });
    add('entry_cpu', entry.cpu, 'percent_of_core');
    add('agent_cpu', agent.cpu, 'percent_of_core');
    add('entry_memory', entry.memory, 'MB');
    add('agent_memory', agent.memory, 'MB');
    add('entry_network', entry.network, 'KB_per_s');
    add('agent_network', agent.network, 'KB_per_s');
    if (size === target) {
      figures.push(
        { name: 'cpu_at_target', value: Math.max(entry.cpu, agent.cpu) },
        { name: 'memory_at_target', value: Math.max(entry.memory, agent.memory) },
        { name: 'network_at_target', value: Math.max(entry.network, agent.network) },
      );
    }
  });
  return figures;
}
