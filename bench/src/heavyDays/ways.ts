import { Failure, Unavailable } from '@laburnumstream/common';
import type { Clock, Endpoint, Log, Metrics, Random, ServiceProfile } from '@laburnumstream/common';
import { DispatchQueue, EndpointHandle, engineQueueLimits } from '@laburnumstream/forwarding';
import type { EndpointSource } from '@laburnumstream/forwarding';
import type { HeavyRequest } from './heavyLoad.js';

/** What one entry decides: to which engine a request goes. */
export interface EntryDecision {
  /** Resolves with the number of an engine; rejects with `Unavailable` and a time to come back. */
  place(request: HeavyRequest, isReturned: boolean, signal: AbortSignal): Promise<number>;
  /** A request that was sent there has shown its first event. */
  wasRead(engine: number, request: HeavyRequest): void;
  ended(engine: number): void;
}

/** A way of admission, as one entry follows it. */
export interface Way {
  readonly entry: EntryDecision;
  /** The handles that reports and other entries' loads go to; none for ways that use neither. */
  readonly handles: readonly EndpointHandle[];
}

/** What all ways are made of. */
export interface WayParts {
  readonly engines: number;
  readonly entries: number;
  /** Number of this entry. */
  readonly entry: number;
  readonly regions: number;
  readonly profile: ServiceProfile;
  readonly clock: Clock;
  readonly random: Random;
}

const service = 'model';
const timeoutMs = 6_000;
/** Share of each engine's slots that an entry takes at most under a bare cap. */
const capReturnMs = { least: 600, spread: 1_000 } as const;

const quiet: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const uncounted: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

/** Region of an engine or entry: they are dealt out in turn. */
export function regionOf(index: number, regions: number): number {
  return index % regions;
}

function endpointOf(engine: number, profile: ServiceProfile): Endpoint {
  return {
    id: `engine-${engine}`,
    startedAt: 1,
    service,
    address: `10.0.0.${engine}:80`,
    dataCentre: 'a',
    slots: profile.engine!.slots,
    isDraining: false,
    coldRemainingMs: 0,
    layers: { from: 0, to: profile.engine!.layers, version: 1 },
  };
}

/** The product's own decisions: the line, the placement and the loads of `packages/forwarding`. */
export function ownWay(parts: WayParts): Way {
  const { engines, entries, entry, regions, profile, clock, random } = parts;
  const region = regionOf(entry, regions);
  const handles = Array.from({ length: engines }, (_, engine) => {
    const isNear = regionOf(engine, regions) === region;
    const near = Math.ceil((entries - regionOf(engine, regions)) / regions);
    const peers = (): number => (isNear ? near - 1 : near);
    const endpoint = endpointOf(engine, profile);
    return new EndpointHandle(endpoint, profile, isNear, '', clock, uncounted, peers, 0);
  });
  const hasRoom = (handle: EndpointHandle): boolean =>
    handle.load.hasCapacity({ ...engineQueueLimits, slots: handle.slots }, clock.now());
  const choice: EndpointSource = {
    forService: () => handles,
    available: () => handles.filter(hasRoom),
    canServe: () => true,
  };
  const line = new DispatchQueue(choice, clock, random, uncounted, quiet);
  const model = handles[0]!.model!;
  return {
    handles,
    entry: {
      async place(request, isReturned, signal) {
        const { id, workspace, promptTokens, arrivesAt, kind } = request;
        const goalAt = arrivesAt + kind.goalMs;
        const answerTokens = request.events * profile.engine!.stepsPerPass;
        const placed = {
          id,
          service,
          workspace,
          priority: 1,
          isCallerRetry: isReturned,
          isRetryable: true,
          arrivedAt: clock.now(),
          startBy: model.latestStart(goalAt, promptTokens),
          demand: { promptTokens, answerTokens },
          fairnessGroups: [kind.name, model.sizeClass(promptTokens, answerTokens)],
          eligibility: { homeRegions: [], tried: new Set<string>() },
          goalAt,
          deadlineAt: arrivesAt + timeoutMs,
        };
        const { target } = await line.place(placed, signal);
        target.load.recordStart(model.prefillMs(promptTokens));
        return handles.indexOf(target);
      },
      wasRead: (engine, { promptTokens }) =>
        handles[engine]!.load.recordPrefill(model.prefillMs(promptTokens)),
      ended: (engine) => {
        handles[engine]!.load.recordEnd();
        line.dispatch(service);
      },
    },
  };
}

/** Sends each request to the engine with the fewest of this entry's requests, up to a cap. */
function countingWay({ engines, random }: WayParts, cap: number): Way {
  const own = new Array<number>(engines).fill(0);
  return {
    handles: [],
    entry: {
      place() {
        const fewest = Math.min(...own);
        if (fewest >= cap) {
          const afterMs = capReturnMs.least + random.next() * capReturnMs.spread;
          return Promise.reject(new Unavailable('The cap is reached.', afterMs));
        }
        const open = own.flatMap((count, engine) => (count === fewest ? [engine] : []));
        const engine = open[Math.floor(random.next() * open.length)];
        if (engine === undefined) throw new Failure('no_engine', 'There are no engines.');
        own[engine]! += 1;
        return Promise.resolve(engine);
      },
      wasRead: () => undefined,
      ended: (engine) => {
        own[engine]! -= 1;
      },
    },
  };
}

/** All ways that are compared, by name. */
export const ways: Readonly<Record<string, (parts: WayParts) => Way>> = {
  'first-come': (parts) => countingWay(parts, Infinity),
  'bare-cap': (parts) =>
    countingWay(parts, Math.max(1, Math.round(parts.profile.engine!.slots / parts.entries))),
  own: ownWay,
};
