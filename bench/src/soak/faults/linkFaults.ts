import { RelayMode } from '@laburnumstream/standins';
import type { Relay } from '@laburnumstream/standins';
import { pause } from '../pause.js';
import { disturbing, pickEndpoint, pickEntry, seriesGapMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const longestDelayMs = 200;

async function treat(relay: Relay, mode: RelayMode, context: SoakFaultContext): Promise<void> {
  relay.set(mode);
  await pause(context.lastsMs, context.signal);
  relay.set(RelayMode.open);
  // What was silenced or has lost bytes is not usable any more.
  if (mode !== RelayMode.silentOld) relay.reset();
}

function endpointLink(mode: RelayMode): SoakFault {
  return (context) => {
    const { engine, relay } = pickEndpoint(context);
    return disturbing(context, [engine.name], () => treat(relay, mode, context));
  };
}

function storeLink(mode: RelayMode): SoakFault {
  return (context) => {
    const { name, store } = pickEntry(context);
    return disturbing(context, [name], () => treat(store, mode, context));
  };
}

async function delays(relay: Relay, { random, lastsMs, signal }: SoakFaultContext): Promise<void> {
  Object.assign(relay, { delayMs: random.next() * longestDelayMs });
  await pause(lastsMs, signal);
  Object.assign(relay, { delayMs: 0 });
  relay.reset();
}

async function resets(relay: Relay, { random, lastsMs, signal }: SoakFaultContext): Promise<void> {
  for (let left = lastsMs; left > 0 && !signal.aborted; left -= seriesGapMs) {
    relay.reset();
    await pause(random.next() * seriesGapMs, signal);
  }
}

function onEndpoint(work: (relay: Relay, context: SoakFaultContext) => Promise<void>): SoakFault {
  return (context) => {
    const { engine, relay } = pickEndpoint(context);
    return disturbing(context, [engine.name], () => work(relay, context));
  };
}

function onStoreLink(work: (relay: Relay, context: SoakFaultContext) => Promise<void>): SoakFault {
  return (context) => {
    const { name, store } = pickEntry(context);
    return disturbing(context, [name], () => work(store, context));
  };
}

/** Faults of the links between entries and engines, and between entries and the store, by name. */
export const linkFaults: Readonly<Record<string, SoakFault>> = {
  linkDelayed: onEndpoint(delays),
  linkReset: onEndpoint(resets),
  linkCut: endpointLink(RelayMode.cut),
  linkRefused: endpointLink(RelayMode.refused),
  linkSilent: endpointLink(RelayMode.silent),
  oldLinksSilent: endpointLink(RelayMode.silentOld),
  answersLost: endpointLink(RelayMode.answersLost),
  requestsLost: endpointLink(RelayMode.requestsLost),
  answersCutShort: endpointLink(RelayMode.cutShort),
  storeLinkDelayed: onStoreLink(delays),
  storeLinkReset: onStoreLink(resets),
  storeLinkCut: storeLink(RelayMode.cut),
  storeLinkRefused: storeLink(RelayMode.refused),
  storeLinkSilent: storeLink(RelayMode.silent),
  storeAnswersLost: storeLink(RelayMode.answersLost),
};
