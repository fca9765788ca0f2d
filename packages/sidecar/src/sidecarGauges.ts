import type { Gauge } from '@laburnumstream/common';
import type { EngineWatch } from './engineWatch.js';
import type { FleetView } from './fleetView.js';
import type { VersionShelf } from './versionShelf.js';
import type { WeightKeeper } from './weightKeeper.js';

/** The engine and its weights as this process knows them, as gauges. */
export function sidecarGauges(
  view: FleetView,
  watch: EngineWatch,
  keeper: WeightKeeper,
  shelf: VersionShelf,
): Gauge[] {
  const { state, isAnswering } = watch;
  const { version, isSwitching } = keeper.weightState;
  return [
    { name: 'engine_answering', value: isAnswering ? 1 : 0 },
    { name: 'engine_requests', value: state?.running ?? 0, labels: { state: 'running' } },
    { name: 'engine_requests', value: state?.waiting ?? 0, labels: { state: 'waiting' } },
    { name: 'weights_switching', value: isSwitching ? 1 : 0 },
    { name: 'weights_version', value: version, labels: { state: 'served' } },
    { name: 'weights_version', value: view.version, labels: { state: 'named' } },
    { name: 'weights_version', value: shelf.newest()?.version ?? 0, labels: { state: 'complete' } },
  ];
}
