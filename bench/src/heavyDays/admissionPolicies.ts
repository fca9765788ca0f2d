import { Failure, Unavailable } from '@laburnumstream/common';
import type { Clock, Endpoint, Random, ServiceProfile } from '@laburnumstream/common';
import { RequestStage } from '@laburnumstream/decisions';
import { DispatchQueue, EndpointHandle, engineQueueLimits } from '@laburnumstream/forwarding';
import type { EndpointSource } from '@laburnumstream/forwarding';
import type { HeavyRequest } from './heavyLoad.js';
import { noMetrics, silentLog } from './silentObservers.js';

/** Selects an engine for each request of one entry. */
export interface EntryAdmission {
  /** Resolves with the index of an engine; rejects with `Unavailable` and a retry delay. */
  place(request: HeavyRequest, isCallerRetry: boolean, signal: AbortSignal): Promise<number>;
  /** Called on the first event of a dispatched request. */
  onFirstEvent(engine: number, request: HeavyRequest): void;
  onEnd(engine: number): void;
}

/** An admission policy, as instantiated for one entry. */
export interface AdmissionPolicy {
  readonly entry: EntryAdmission;
  /** Receive load reports and the loads of other entries; empty for policies that use neither. */
  readonly handles: readonly EndpointHandle[];
}

/** Parameters of an admission policy. */
export interface PolicyOptions {
  readonly engines: number;
  readonly entries: number;
  /** Index of this entry. */
  readonly entry: number;
  readonly regions: number;
  readonly profile: ServiceProfile;
  readonly clock: Clock;
  readonly random: Random;
}

const service = 'model';
const timeoutMs = 6_000;
/** Retry delay of a request that the cap refused: the minimum, and the range of the random part. */
const capRetryMs = { min: 600, range: 1_000 } as const;

/** Region of an engine or entry, assigned round-robin. */
export function getRegion(index: number, regions: number): number {
  return index % regions;
}

function makeEndpoint(engine: number, profile: ServiceProfile): Endpoint {
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

/** The product's policy: queue, placement and load tracking of `packages/forwarding`. */
export function makeProductPolicy(options: PolicyOptions): AdmissionPolicy {
  const { engines, entries, entry, regions, profile, clock, random } = options;
  const region = getRegion(entry, regions);
  const handles = Array.from({ length: engines }, (_, engine) => {
    const isLocal = getRegion(engine, regions) === region;
    const localEntries = Math.ceil((entries - getRegion(engine, regions)) / regions);
    const peers = (): number => (isLocal ? localEntries - 1 : localEntries);
    const endpoint = makeEndpoint(engine, profile);
    return new EndpointHandle(endpoint, profile, isLocal, '', clock, noMetrics, peers, 0);
  });
  const hasRoom = (handle: EndpointHandle): boolean =>
    handle.load.hasCapacity({ ...engineQueueLimits, slots: handle.slots }, clock.now());
  const choice: EndpointSource = {
    forService: () => handles,
    available: () => handles.filter(hasRoom),
    countLimited: () => 0,
    recordPlacement: () => undefined,
    canServe: () => true,
    summarizeStatements: () => ({ leaving: 0, paused: 0, pauseLeftMs: 0 }),
  };
  const line = new DispatchQueue(choice, clock, random, noMetrics, silentLog);
  const model = handles[0]!.model!;
  return {
    handles,
    entry: {
      async place(request, isCallerRetry, signal) {
        const { id, workspace, promptTokens, arrivesAt, kind } = request;
        const goalAt = arrivesAt + kind.goalMs;
        const answerTokens = request.events * profile.engine!.stepsPerPass;
        const placed = {
          id,
          service,
          workspace,
          priority: 1,
          stage: isCallerRetry ? RequestStage.callerRetry : RequestStage.fresh,
          configurationVersion: 1,
          configurationAgeMs: 0,
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
      onFirstEvent: (engine, { promptTokens }) =>
        handles[engine]!.load.recordPrefill(model.prefillMs(promptTokens)),
      onEnd: (engine) => {
        handles[engine]!.load.recordEnd();
        line.dispatch(service);
      },
    },
  };
}

/** Picks the engine with the fewest outstanding requests of this entry, up to a cap per engine. */
function makeLeastRequestsPolicy({ engines, random }: PolicyOptions, cap: number): AdmissionPolicy {
  const outstanding = new Array<number>(engines).fill(0);
  return {
    handles: [],
    entry: {
      place() {
        const fewest = Math.min(...outstanding);
        if (fewest >= cap) {
          const afterMs = capRetryMs.min + random.next() * capRetryMs.range;
          return Promise.reject(new Unavailable('The cap is reached.', afterMs));
        }
        const candidates = outstanding.flatMap((count, engine) =>
          count === fewest ? [engine] : [],
        );
        const engine = candidates[Math.floor(random.next() * candidates.length)];
        if (engine === undefined) throw new Failure('no_engine', 'There are no engines.');
        outstanding[engine]! += 1;
        return Promise.resolve(engine);
      },
      onFirstEvent: () => undefined,
      onEnd: (engine) => {
        outstanding[engine]! -= 1;
      },
    },
  };
}

/** The compared admission policies by name. */
export const admissionPolicies: Readonly<
  Record<string, (options: PolicyOptions) => AdmissionPolicy>
> = {
  'first-come': (options) => makeLeastRequestsPolicy(options, Infinity),
  'bare-cap': (options) =>
    makeLeastRequestsPolicy(
      options,
      Math.max(1, Math.round(options.profile.engine!.slots / options.entries)),
    ),
  own: makeProductPolicy,
};
