import { interruptibleSleep } from '../interruptibleSleep.js';
import { withFault, stepIntervalMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const slowStoreDelayMs = 700;
const droppedResponseShare = 0.3;

/** Sets fields of the store for the duration of the fault. */
function setStoreFields(during: object, after: object): SoakFault {
  return (context) =>
    withFault(context, ['store'], async () => {
      Object.assign(context.fleet.store, during);
      await interruptibleSleep(context.durationMs, context.signal);
      Object.assign(context.fleet.store, after);
    });
}

async function storeLosesAnswers(context: SoakFaultContext): Promise<void> {
  const shouldDropResponse = (): boolean => context.random.next() < droppedResponseShare;
  await setStoreFields({ shouldDropResponse }, { shouldDropResponse: () => false })(context);
}

async function storeForgets(context: SoakFaultContext): Promise<void> {
  await withFault(context, ['store'], async () => {
    context.fleet.store.compact();
    await interruptibleSleep(stepIntervalMs, context.signal);
  });
}

/** Store faults, by name. */
export const storeFaults: Readonly<Record<string, SoakFault>> = {
  storeAway: setStoreFields({ forcedStatus: 503 }, { forcedStatus: undefined }),
  storeSilent: setStoreFields({ isSilent: true }, { isSilent: false }),
  storeSlow: setStoreFields({ delayMs: slowStoreDelayMs }, { delayMs: 0 }),
  storeLosesAnswers,
  storeForgets,
};
