import { pause } from '../pause.js';
import { disturbing, seriesGapMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const slowStoreMs = 700;
const lossShare = 0.3;

/** Changes a field of the store for a while. */
function onStore(during: object, after: object): SoakFault {
  return (context) =>
    disturbing(context, ['store'], async () => {
      Object.assign(context.fleet.store, during);
      await pause(context.lastsMs, context.signal);
      Object.assign(context.fleet.store, after);
    });
}

async function storeLosesAnswers(context: SoakFaultContext): Promise<void> {
  const losesAnswer = (): boolean => context.random.next() < lossShare;
  await onStore({ losesAnswer }, { losesAnswer: () => false })(context);
}

async function storeForgets(context: SoakFaultContext): Promise<void> {
  await disturbing(context, ['store'], async () => {
    context.fleet.store.compact();
    await pause(seriesGapMs, context.signal);
  });
}

/** Faults of the store itself, by name. */
export const storeFaults: Readonly<Record<string, SoakFault>> = {
  storeAway: onStore({ refusal: 503 }, { refusal: undefined }),
  storeSilent: onStore({ isSilent: true }, { isSilent: false }),
  storeSlow: onStore({ delayMs: slowStoreMs }, { delayMs: 0 }),
  storeLosesAnswers,
  storeForgets,
};
