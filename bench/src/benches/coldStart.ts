import type { BenchRun, Measurement } from '../figure.js';
import { loadCapacity, loadEngine, offerLoad, startLoadFleet } from '../loadFleet.js';

const overloadFactor = 4;
const secondMs = 1_000;
const reportLagMs = 1_000;

/** Peak work on cold endpoints over restarts under load, and the time until full load again. */
export async function coldStart({ quick }: BenchRun): Promise<readonly Measurement[]> {
  const restarts = quick ? 1 : 5;
  const engine = { ...loadEngine, reportLagMs };
  const fleet = await startLoadFleet({ engine });
  try {
    const engines = fleet.agents.map((agent) => agent.engine!);
    const fullLoad = loadEngine.capacity - 2;
    const control = { stop: false };
    const load = offerLoad(fleet, 'workspace-1', loadCapacity * overloadFactor, control);
    const times: number[] = [];
    for (let restart = 0; restart < restarts; restart += 1) {
      const target = engines[restart % engines.length]!;
      await fleet.waitUntil(() => target.runningUnits >= fullLoad, 'the engine has full load');
      target.restart();
      const started = performance.now();
      await fleet.waitUntil(
        () => target.runningUnits >= fullLoad,
        'the engine has full load again',
      );
      times.push((performance.now() - started) / secondMs);
    }
    control.stop = true;
    await load;
    const peak = Math.max(...engines.map(({ maxUnitsWhileCold }) => maxUnitsWhileCold));
    const crashes = engines.reduce((sum, { crashes: own }) => sum + own, 0);
    return [
      { name: 'most_work_over_bearable', value: peak / loadEngine.coldCapacity },
      { name: 'crashes', value: crashes, unit: 'count' },
      { name: 'time_to_full_load', value: Math.max(...times), unit: 's' },
    ];
  } finally {
    await fleet.close();
  }
}
