import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

// The flag takes effect on contexts that are created later.
setFlagsFromString('--expose-gc');
/** Collects all garbage of this process. */
export const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of this process's heap that are still in use after its garbage has been collected. */
export function measureHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
