import type { ExpectedCapacity } from '@laburnumstream/decisions';
import type { EndpointHandle } from './endpointHandle.js';
import { EndpointState } from './endpointState.js';

/** What the forecast depends on besides the endpoint itself. */
export interface ForecastFacts {
  /** Entries that share the endpoint's capacity. */
  readonly entries: number;
  readonly linkBitsPerSecond: number;
  /** Monotonic time at which the endpoint's pause ends, in milliseconds. */
  readonly pauseEndsAt: number;
}

/** State of an endpoint when its start was last estimated, and when that state was first seen. */
interface StateStart {
  readonly state: EndpointState;
  readonly since: number;
  /** When it was seen last. */
  readonly seenAt: number;
}

/** Time without an estimate after which an endpoint may have left a state and entered it again, in milliseconds. */
const maxUnseenMs = 1_000;
const secondMs = 1_000;
const bitsPerByte = 8;
/** Time in which an agent notices a change of its engine and reports it, in milliseconds. */
const noticeMs = 300;
/** Time in which a process is started anew on its instance, in milliseconds. */
const restartMs = 1_000;
/** Time for which an endpoint that is full gets no request after it has refused one, in milliseconds: its other requests go on. */
const fullRestMs = 60;
/** Steps in which the end of a rest is sought, and the longest rest, in milliseconds. */
const restSearchMs = { step: 250, max: 4_000 } as const;
/** Factor on the time that a link needs for the weights: other agents use it at the same time. */
const linkSharers = 2;
/**
 * Part of the time that a state has lasted for which it is expected to last on once it takes longer than usual: the
 * longer it is overdue, the less likely it is to end soon.
 */
const overdueShare = 0.5;
/** Part of the free slots that requests which have waited may use; the others are kept for those in time. */
const waitingShare = 0.8;
/** Time of a plain service's work on a request, in milliseconds. */
const plainWorkMs = 25;

function transferMs({ profile }: EndpointHandle, { linkBitsPerSecond }: ForecastFacts): number {
  const { chunks = 0, chunkBytes = 0 } = profile?.engine ?? {};
  const bits = chunks * chunkBytes * bitsPerByte;
  return linkBitsPerSecond > 0 ? (bits / linkBitsPerSecond) * secondMs * linkSharers : 0;
}

function loadMs({ profile }: EndpointHandle): number {
  return (profile?.engine?.models[0]?.loadMs ?? 0) + noticeMs;
}

function weightsMs(handle: EndpointHandle, facts: ForecastFacts): number {
  return transferMs(handle, facts) + loadMs(handle);
}

/** Time until an endpoint that rests after failures is tried again, in milliseconds. */
function findRestMs({ health }: EndpointHandle, _facts: ForecastFacts, now: number): number {
  const { step, max } = restSearchMs;
  let restMs = 0;
  while (restMs < max && !health.isAvailable(0, now + restMs)) restMs += step;
  return restMs;
}

type Duration = (handle: EndpointHandle, facts: ForecastFacts, now: number) => number;

/** Usual duration of each state of an endpoint that ends by itself, in milliseconds. */
const usualMs: Readonly<Partial<Record<EndpointState, Duration>>> = {
  [EndpointState.resting]: findRestMs,
  [EndpointState.misdirected]: (handle, facts) =>
    handle.model ? weightsMs(handle, facts) : restartMs,
  [EndpointState.empty]: weightsMs,
  [EndpointState.outdated]: weightsMs,
  [EndpointState.switching]: loadMs,
  [EndpointState.silent]: (handle, facts) =>
    restartMs + (handle.model ? weightsMs(handle, facts) : 0),
};

/** States whose duration is what is left of it, and not counted from its start. */
const remainingStates: ReadonlySet<EndpointState> = new Set([EndpointState.resting]);

/** States in which an endpoint can take a request as soon as others have ended. */
const servingStates: ReadonlySet<EndpointState> = new Set([
  EndpointState.free,
  EndpointState.full,
  EndpointState.limited,
]);

/** Whether an endpoint rests only because it has refused a request while others run. */
function isFull({ health }: EndpointHandle, state: EndpointState, now: number): boolean {
  return state === EndpointState.resting && health.isAvailable(0, now + fullRestMs);
}

/** Expects when endpoints that cannot serve now will, and how much. */
export class CapacityForecast {
  /** By incarnation. */
  private readonly starts = new Map<string, StateStart>();

  /** Returns the capacity that an endpoint in a state is expected to have; undefined if it is to get no requests. */
  expect(
    handle: EndpointHandle,
    state: EndpointState,
    facts: ForecastFacts,
    now: number,
  ): ExpectedCapacity | undefined {
    const isServing = servingStates.has(state) || isFull(handle, state, now);
    const at = isServing ? now : this.expectStart(handle, state, facts, now);
    if (at === undefined) return undefined;
    const { profile, slots, model, load, coldUntil } = handle;
    const perMs = model ? 1 / model.slotTurnoverMs : slots / plainWorkMs;
    const coldPerMs = (profile?.coldRequestsPerSecond ?? 0) / secondMs;
    const free = isServing ? Math.max(0, slots - load.outstanding(now)) : slots;
    const isCold = coldPerMs > 0 && at < coldUntil;
    return {
      isServing,
      at,
      places: isCold ? 0 : (free * waitingShare) / facts.entries,
      perMs: (isCold ? Math.min(coldPerMs, perMs) : perMs) / facts.entries,
    };
  }

  /** Forgets endpoints that are not registered any more. */
  retain(incarnations: ReadonlySet<string>): void {
    this.starts.forEach((_start, incarnation) => {
      if (!incarnations.has(incarnation)) this.starts.delete(incarnation);
    });
  }

  private expectStart(
    handle: EndpointHandle,
    state: EndpointState,
    facts: ForecastFacts,
    now: number,
  ): number | undefined {
    if (state === EndpointState.paused) return Math.max(now, facts.pauseEndsAt);
    const usual = usualMs[state]?.(handle, facts, now);
    if (usual === undefined) return undefined;
    const elapsed = now - this.findStart(handle.incarnation, state, now);
    const leftMs = remainingStates.has(state) ? usual : usual - elapsed;
    return now + Math.max(leftMs, elapsed * overdueShare);
  }

  private findStart(incarnation: string, state: EndpointState, now: number): number {
    const known = this.starts.get(incarnation);
    const isSame = known?.state === state && now - known.seenAt < maxUnseenMs;
    const since = isSame ? known.since : now;
    this.starts.set(incarnation, { state, since, seenAt: now });
    return since;
  }
}
