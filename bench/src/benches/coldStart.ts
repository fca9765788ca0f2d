import type { BenchRun, Measurement } from '../figure.js';
import { loadCapacity, loadEngine, offerLoad, startLoadFleet } from '../loadFleet.js';

const overloadFactor = 4;
const secondMs = 1_000;
const reportLagMs = 1_000;

/** Most work on cold endpoints over restarts under load, and the time to full load again. */
export async function coldStart({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const restarts = quick ? 1 : 5;
  const engine = { ...loadEngine, reportLagMs };
  const fleet = await startLoadFleet({ engine });
  try {
    const engines = fleet.agents.map((agent) => agent.engine!);
    const full = loadEngine.capacity - 2;
    const until = { stop: false };
    const load = offerLoad(fleet, 'workspace-1', loadCapacity * overloadFactor, until);
    const times: number[] = [];
    for (let restart = 0; restart < restarts; restart += 1) {
      const target = engines[restart % engines.length]!;
      await fleet.until(() => target.runningUnits >= full, 'the engine has full load');
      target.restart();
      const started = performance.now();
      await fleet.until(() => target.runningUnits >= full, 'the engine has full load again');
      times.push((performance.now() - started) / secondMs);
    }
    until.stop = true;
    await load;
    const most = Math.max(...engines.map(({ maxUnitsWhileCold: mostWhileCold }) => mostWhileCold));
    const crashes = engines.reduce((sum, { crashes: own }) => sum + own, 0);
    return [
      { name: 'most_work_over_bearable', value: most / loadEngine.coldCapacity },
      { name: 'crashes', value: crashes, unit: 'count' },
      { name: 'time_to_full_load', value: Math.max(...times), unit: 's' },
    ];
  } finally {
    await fleet.close();
  }
}
