import type { Gauge } from '@laburnumstream/common';
import type { EngineMonitor } from './engineMonitor.js';
import type { FleetView } from './fleetView.js';
import type { VersionCache } from './versionCache.js';
import type { WeightUpdater } from './weightUpdater.js';

/** Gauges of the local engine and its weights. */
export function sidecarGauges(
  view: FleetView,
  monitor: EngineMonitor,
  updater: WeightUpdater,
  versions: VersionCache,
): Gauge[] {
  const { state, isAnswering } = monitor;
  const { version, isSwitching } = updater.weightState;
  return [
    { name: 'engine_answering', value: isAnswering ? 1 : 0 },
    { name: 'engine_requests', value: state?.running ?? 0, labels: { state: 'running' } },
    { name: 'engine_requests', value: state?.waiting ?? 0, labels: { state: 'waiting' } },
    { name: 'weights_switching', value: isSwitching ? 1 : 0 },
    { name: 'weights_version', value: version, labels: { state: 'served' } },
    { name: 'weights_version', value: view.version, labels: { state: 'named' } },
    {
      name: 'weights_version',
      value: versions.newestComplete()?.version ?? 0,
      labels: { state: 'complete' },
    },
  ];
}
