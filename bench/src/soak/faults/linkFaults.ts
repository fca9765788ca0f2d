import { RelayMode } from '@laburnumstream/standins';
import type { Relay } from '@laburnumstream/standins';
import { interruptibleSleep } from '../interruptibleSleep.js';
import { withFault, pickEndpoint, pickEntry, stepIntervalMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

const maxDelayMs = 200;

async function applyMode(relay: Relay, mode: RelayMode, context: SoakFaultContext): Promise<void> {
  relay.setMode(mode);
  await interruptibleSleep(context.durationMs, context.signal);
  relay.setMode(RelayMode.open);
  // Connections that were silenced or lost bytes are unusable. `silentExisting` leaves them open,
  // so that the programs have to detect them.
  if (mode !== RelayMode.silentExisting) relay.reset();
}

function endpointModeFault(mode: RelayMode): SoakFault {
  return (context) => {
    const { engine, relay } = pickEndpoint(context);
    return withFault(context, [engine.name], () => applyMode(relay, mode, context));
  };
}

function storeModeFault(mode: RelayMode): SoakFault {
  return (context) => {
    const { name, storeRelay } = pickEntry(context);
    return withFault(context, [name], () => applyMode(storeRelay, mode, context));
  };
}

async function delayLink(
  relay: Relay,
  { random, durationMs, signal }: SoakFaultContext,
): Promise<void> {
  Object.assign(relay, { delayMs: random.next() * maxDelayMs });
  await interruptibleSleep(durationMs, signal);
  Object.assign(relay, { delayMs: 0 });
  relay.reset();
}

async function resetLink(
  relay: Relay,
  { random, durationMs, signal }: SoakFaultContext,
): Promise<void> {
  for (
    let remainingMs = durationMs;
    remainingMs > 0 && !signal.aborted;
    remainingMs -= stepIntervalMs
  ) {
    relay.reset();
    await interruptibleSleep(random.next() * stepIntervalMs, signal);
  }
}

function endpointLinkFault(
  inject: (relay: Relay, context: SoakFaultContext) => Promise<void>,
): SoakFault {
  return (context) => {
    const { engine, relay } = pickEndpoint(context);
    return withFault(context, [engine.name], () => inject(relay, context));
  };
}

function storeLinkFault(
  inject: (relay: Relay, context: SoakFaultContext) => Promise<void>,
): SoakFault {
  return (context) => {
    const { name, storeRelay } = pickEntry(context);
    return withFault(context, [name], () => inject(storeRelay, context));
  };
}

/** Faults of the connections from entries to engines and to the store, by name. */
export const linkFaults: Readonly<Record<string, SoakFault>> = {
  linkDelayed: endpointLinkFault(delayLink),
  linkReset: endpointLinkFault(resetLink),
  linkCut: endpointModeFault(RelayMode.cut),
  linkRefused: endpointModeFault(RelayMode.refused),
  linkSilent: endpointModeFault(RelayMode.silent),
  oldLinksSilent: endpointModeFault(RelayMode.silentExisting),
  answersLost: endpointModeFault(RelayMode.responsesLost),
  requestsLost: endpointModeFault(RelayMode.requestsLost),
  answersCutShort: endpointModeFault(RelayMode.truncated),
  storeLinkDelayed: storeLinkFault(delayLink),
  storeLinkReset: storeLinkFault(resetLink),
  storeLinkCut: storeModeFault(RelayMode.cut),
  storeLinkRefused: storeModeFault(RelayMode.refused),
  storeLinkSilent: storeModeFault(RelayMode.silent),
  storeAnswersLost: storeModeFault(RelayMode.responsesLost),
};
