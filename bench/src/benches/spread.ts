import type { BenchRun, Measurement } from '../figure.js';
import { spreadReal } from './spreadReal.js';
import { spreadVirtual } from './spreadVirtual.js';

/** Time until a change is in force in all processes, and the store calls that this takes. */
export async function spread(run: BenchRun): Promise<readonly Measurement[]> {
  const virtual = await spreadVirtual(run);
  return [...virtual, ...(await spreadReal(run))];
}
