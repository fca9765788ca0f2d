import type { BenchRun, Measurement } from '../figure.js';
import { VirtualScheme, VirtualTransfer } from '../weights/virtualTransfer.js';
import type { VirtualScenario } from '../weights/virtualTransfer.js';

const targetInstances = 2_400;
const quickInstances = 120;
const comparedInstances = 120;

const target: Omit<VirtualScenario, 'seed' | 'scheme'> = {
  instances: targetInstances,
  regions: 2,
  dataCentres: 6,
  chunks: 256,
  failingShare: 0.01,
  corruptShare: 0.001,
  originCopies: 4,
  instanceCopies: 2,
  regionCopies: 2,
};

/**
 * Runs the transfer logic of all members at the target size in virtual time, with failing members
 * and corrupt chunks; compares all schemes on the same smaller scenario.
 */
export async function weightsScale({ seed, quick }: BenchRun): Promise<readonly Measurement[]> {
  const instances = quick ? quickInstances : targetInstances;
  const scheme = VirtualScheme.trees;
  const outcome = new VirtualTransfer({ ...target, seed, scheme, instances }).run();
  const others = Object.values(VirtualScheme).flatMap((each) => {
    const scenario = { ...target, seed, scheme: each, instances: comparedInstances };
    const { timeOverBound, originCopies } = new VirtualTransfer(scenario).run();
    return [
      { name: `time_over_bound_${comparedInstances}_${each}`, value: timeOverBound, unit: 'ratio' },
      { name: `origin_copies_${comparedInstances}_${each}`, value: originCopies, unit: 'copies' },
    ];
  });
  const at = quick ? `_at_${quickInstances}` : '';
  const time = { name: 'time_to_2400_over_lower_bound', value: outcome.timeOverBound };
  const smaller = { name: `time${at}`, value: outcome.timeOverBound, unit: 'ratio' };
  return Promise.resolve([
    quick ? smaller : time,
    { name: 'origin_copies_in_all', value: outcome.originCopies },
    { name: 'copies_into_each_remote_region', value: outcome.remoteCopies, unit: 'copies' },
    { name: 'incomplete_instances', value: outcome.incomplete },
    { name: 'corrupt_chunks_refused', value: outcome.corruptChunks, unit: 'count' },
    { name: 'members_died', value: outcome.failedMembers, unit: 'count' },
    ...others,
  ]);
}
