import { SeededRandom, Unavailable } from '@laburnumstream/common';
import type { Clock, ServiceProfile } from '@laburnumstream/common';
import { EngineModel } from '@laburnumstream/decisions';
import { VirtualClock } from '@laburnumstream/standins';
import { admissionPolicies } from './admissionPolicies.js';
import type { AdmissionPolicy } from './admissionPolicies.js';
import { heavyProfile } from './heavyDay.js';
import { drawHeavyLoad } from './heavyLoad.js';
import type { HeavyRequest } from './heavyLoad.js';
import { VirtualEngine } from './virtualEngine.js';

/** Engines whose instances are slow for moments, behind the entries of one region. */
export interface UnevenEndpointsShape {
  readonly seed: number;
  readonly engines: number;
  readonly entries: number;
  readonly rateFactor: number;
  readonly seconds: number;
  /** Whether entries use the pace that responses state; else only that of the agents' reports. */
  readonly usesStatedPace: boolean;
}

/** Shares of the requests of a run. */
export interface UnevenOutcome {
  readonly inTime: number;
  readonly refused: number;
}

/** Paces that an instance has for a moment, as factors on the usual time; the usual one most often. */
const paces = [1, 1, 1, 1, 1, 1, 1.5, 2.5, 4, 6] as const;
/** Mean time for which an instance keeps a pace, in milliseconds. */
const meanPaceMs = 250;
const reportIntervalMs = 300;
const shareIntervalMs = 15;
const secondMs = 1_000;
const drainMs = 8_000;
const slots = 12;

/** Engine timing of the deployment with uneven instances. */
const profile: ServiceProfile = {
  ...heavyProfile,
  engine: {
    ...heavyProfile.engine!,
    slots,
    kvCacheTokens: 1_640_000,
    stepsPerPass: 7,
    stepMs: 6.73,
    stepMsPerSequence: 0.0219,
    stepMsPerThousandTokens: 0.0068,
    prefillTokensPerSecond: 30_600,
  },
};

/** An engine on an instance that it shares with others. */
class UnevenEngine {
  pace = 1;

  readonly engine: VirtualEngine;

  constructor(model: EngineModel, clock: VirtualClock) {
    const slowed: Clock = {
      now: () => clock.now(),
      wall: () => clock.wall(),
      sleep: (ms, signal) => clock.sleep(ms * this.pace, signal),
    };
    this.engine = new VirtualEngine(model, slowed);
  }
}

/** Runs the product's placement against uneven engines in virtual time. */
export async function runUnevenEndpoints(shape: UnevenEndpointsShape): Promise<UnevenOutcome> {
  const { seed, engines: engineCount, entries: entryCount, rateFactor, seconds } = shape;
  const random = new SeededRandom(seed);
  const paceRandom = new SeededRandom(seed + 1);
  const clock = new VirtualClock();
  const model = new EngineModel(profile.engine!);
  const engines = Array.from({ length: engineCount }, () => new UnevenEngine(model, clock));
  const entries = Array.from({ length: entryCount }, (_, entry): AdmissionPolicy => {
    const options = { engines: engineCount, entries: entryCount, entry, regions: 1 };
    return admissionPolicies.own!({ ...options, profile, clock, random });
  });
  entries.forEach(({ handles }) => handles.forEach((handle) => handle.adapt(shape.usesStatedPace)));
  const outcome = { inTime: 0, refused: 0 };
  const run = (request: HeavyRequest, { entry, handles }: AdmissionPolicy, index: number): void => {
    const { engine } = engines[index]!;
    let hasEvent = false;
    engine.send({
      ...request,
      onEvent: (at) => {
        if (hasEvent) return;
        hasEvent = true;
        handles[index]!.statedPace.record(engines[index]!.pace, at);
        entry.onFirstEvent(index, request);
        if (at - request.arrivesAt <= request.kind.goalMs) outcome.inTime += 1;
      },
      onEnd: () => entry.onEnd(index),
    });
  };
  const submit = async (request: HeavyRequest, isCallerRetry: boolean): Promise<void> => {
    const policy = entries[Math.floor(random.next() * entryCount)]!;
    try {
      run(request, policy, await policy.entry.place(request, isCallerRetry, AbortSignal.any([])));
    } catch (error) {
      if (!(error instanceof Unavailable)) throw error;
      if (isCallerRetry) outcome.refused += 1;
      else {
        await clock.sleep(error.retryAfterMs ?? 0);
        await submit(request, true);
      }
    }
  };
  const changePace = (engine: UnevenEngine): void => {
    Object.assign(engine, { pace: paces[Math.floor(paceRandom.next() * paces.length)] });
    const nextMs = -Math.log(1 - paceRandom.next()) * meanPaceMs;
    clock.schedule(clock.now() + nextMs, () => changePace(engine));
  };
  const report = (): void =>
    entries.forEach(({ handles }) =>
      handles.forEach((handle, index) => {
        const { engine, pace } = engines[index]!;
        const sharers = { local: entryCount, remote: 0, isLocal: true };
        handle.applyLoadReport({ ...engine.load, slowdown: pace }, sharers, random, clock.now());
      }),
    );
  const share = (): void =>
    entries.forEach(({ handles }, entry) =>
      entries.forEach((other, name) => {
        if (name === entry) return;
        handles.forEach(({ load }, index) =>
          other.handles[index]!.load.updatePeer(`entry-${entry}`, load.ownLoad, clock.now()),
        );
      }),
    );
  const requests = drawHeavyLoad(rateFactor, seconds, random);
  const endAt = seconds * secondMs + drainMs;
  requests.forEach((request) =>
    clock.schedule(request.arrivesAt, () => void submit(request, false)),
  );
  for (let at = 0; at < endAt; at += reportIntervalMs) clock.schedule(at, report);
  for (let at = 0; at < endAt; at += shareIntervalMs) clock.schedule(at, share);
  engines.forEach((engine) => changePace(engine));
  await clock.runUntil(endAt);
  return {
    inTime: outcome.inTime / requests.length,
    refused: outcome.refused / requests.length,
  };
}
