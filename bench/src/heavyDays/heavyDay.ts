import { SeededRandom, Unavailable } from '@laburnumstream/common';
import type { ServiceProfile } from '@laburnumstream/common';
import { EngineModel } from '@laburnumstream/decisions';
import { VirtualClock } from '@laburnumstream/standins';
import { drawHeavyLoad } from './heavyLoad.js';
import type { HeavyRequest } from './heavyLoad.js';
import { VirtualEngine } from './virtualEngine.js';
import { getRegion, admissionPolicies } from './admissionPolicies.js';
import type { AdmissionPolicy } from './admissionPolicies.js';

/** A deployment, the load on it and the admission policy of its entries. */
export interface HeavyShape {
  readonly seed: number;
  readonly policy: string;
  readonly engines: number;
  readonly entries: number;
  readonly regions: number;
  /** Multiplier of the request rates in {@link heavyKinds}. */
  readonly rateFactor: number;
  readonly seconds: number;
}

/** Counts of requests by their result. */
export interface HeavyCounts {
  readonly requestCount: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
}

/** Results of a run. */
export interface HeavyOutcome extends HeavyCounts {
  /** Credit of the requests that were in time, as a share of the credit of all requests. */
  readonly creditInTime: number;
  /** Upper bound of `creditInTime`: engines that know all sizes in advance and are never idle. */
  readonly optimalCredit: number;
  /** In-time rate of the worst workspace, the worst kind and the largest tenth, over that of all. */
  readonly minWorkspaceShare: number;
  readonly minKindShare: number;
  readonly largestTenthShare: number;
}

/** Engine timing of both users' sites, as their configuration states it. */
export const heavyProfile: ServiceProfile = {
  name: 'model',
  healthPath: '/health',
  maxConnections: 400,
  coldRequestsPerSecond: 0,
  origin: undefined,
  engine: {
    slots: 16,
    kvCacheTokens: 685_000,
    stepsPerPass: 6,
    stepMs: 7.4,
    stepMsPerSequence: 0.0387,
    stepMsPerThousandTokens: 0.0203,
    prefillTokensPerSecond: 31_900,
    prefillMsPerMillionPairs: 0.733,
    prefillChunkTokens: 2_048,
    typicalPromptTokens: 930,
    typicalOutputTokens: 107,
    layers: 16,
    chunks: 48,
    chunkBytes: 49_152,
    models: [{ name: 'm', loadMs: 300 }],
  },
};

const reportIntervalMs = 300;
const shareIntervalMs = 10;
const secondMs = 1_000;
const maxEventGapMs = 300;
const timeoutMs = 6_000;
/** Time after the last arrival within which all requests end. */
const drainMs = 8_000;
const largestFraction = 0.1;

type Result = 'inTime' | 'late' | 'refused';

/** Runs a load in virtual time against one admission policy. */
export class HeavyDay {
  private readonly clock = new VirtualClock();

  private readonly random: SeededRandom;

  private readonly engines: VirtualEngine[];

  private readonly entries: AdmissionPolicy[];

  private readonly model = new EngineModel(heavyProfile.engine!);

  private readonly results = new Map<HeavyRequest, Result>();

  constructor(private readonly shape: HeavyShape) {
    const { seed, policy, engines, entries, regions } = shape;
    this.random = new SeededRandom(seed);
    this.engines = Array.from({ length: engines }, () => new VirtualEngine(this.model, this.clock));
    this.entries = Array.from({ length: entries }, (_, entry) =>
      admissionPolicies[policy]!({
        engines,
        entries,
        entry,
        regions,
        profile: heavyProfile,
        clock: this.clock,
        random: this.random,
      }),
    );
  }

  async run(): Promise<HeavyOutcome> {
    const { rateFactor, seconds } = this.shape;
    const requests = drawHeavyLoad(rateFactor, seconds, this.random);
    const endAt = seconds * secondMs + drainMs;
    requests.forEach((request) =>
      this.clock.schedule(request.arrivesAt, () => void this.submit(request, false)),
    );
    for (let at = 0; at < endAt; at += reportIntervalMs)
      this.clock.schedule(at, () => this.reportLoads());
    for (let at = 0; at < endAt; at += shareIntervalMs)
      this.clock.schedule(at, () => this.shareLoads());
    await this.clock.runUntil(endAt);
    return this.summarize(requests);
  }

  private async submit(request: HeavyRequest, isCallerRetry: boolean): Promise<void> {
    // The exponent skews the load towards the first entries.
    const index = Math.floor(this.entries.length * this.random.next() ** 1.2);
    const { entry } = this.entries[index]!;
    const signal = AbortSignal.any([]);
    try {
      const engine = await entry.place(request, isCallerRetry, signal);
      this.dispatch(request, engine, entry);
    } catch (error) {
      if (!(error instanceof Unavailable)) throw error;
      if (isCallerRetry) {
        this.results.set(request, 'refused');
        return;
      }
      await this.clock.sleep(error.retryAfterMs ?? 0);
      await this.submit(request, true);
    }
  }

  private dispatch(request: HeavyRequest, engine: number, entry: AdmissionPolicy['entry']): void {
    let lastAt: number | undefined;
    let isInTime = true;
    const onEvent = (at: number): void => {
      if (lastAt === undefined) {
        entry.onFirstEvent(engine, request);
        isInTime = at - request.arrivesAt <= request.kind.goalMs;
      } else if (at - lastAt > maxEventGapMs) isInTime = false;
      lastAt = at;
    };
    const onEnd = (): void => {
      entry.onEnd(engine);
      const isBeforeTimeout = this.clock.now() - request.arrivesAt <= timeoutMs;
      const servedResult = isInTime ? 'inTime' : 'late';
      this.results.set(request, isBeforeTimeout ? servedResult : 'refused');
    };
    const { promptTokens, events } = request;
    this.engines[engine]!.send({ promptTokens, events, onEvent, onEnd });
  }

  /** Agents report the loads of their engines to all entries. */
  private reportLoads(): void {
    const { regions, entries } = this.shape;
    const now = this.clock.now();
    this.entries.forEach(({ handles }, entry) =>
      handles.forEach((handle, engine) => {
        const isLocal = getRegion(engine, regions) === getRegion(entry, regions);
        const local = Math.ceil((entries - getRegion(engine, regions)) / regions);
        const sharers = { local, remote: entries - local, isLocal };
        handle.applyLoadReport(this.engines[engine]!.load, sharers, this.random, now);
      }),
    );
  }

  /** Entries of a region exchange their own loads. */
  private shareLoads(): void {
    const { regions } = this.shape;
    const now = this.clock.now();
    this.entries.forEach(({ handles }, entry) =>
      this.entries.forEach((other, index) => {
        if (index === entry || getRegion(index, regions) !== getRegion(entry, regions)) return;
        handles.forEach((handle, engine) => {
          if (!handle.isLocal) return;
          other.handles[engine]!.load.updatePeer(`entry-${entry}`, handle.load.ownLoad, now);
        });
      }),
    );
  }

  private summarize(requests: readonly HeavyRequest[]): HeavyOutcome {
    const withResult = (kind: Result): HeavyRequest[] =>
      requests.filter((request) => (this.results.get(request) ?? 'refused') === kind);
    const inTime = withResult('inTime');
    const totalCredit = (all: readonly HeavyRequest[]): number =>
      all.reduce((sum, { credit }) => sum + credit, 0);
    const offeredCredit = totalCredit(requests);
    const relativeShare = (isMember: (request: HeavyRequest) => boolean): number => {
      const part = requests.filter(isMember);
      const served = part.filter((request) => this.results.get(request) === 'inTime');
      const all = inTime.length / requests.length;
      return part.length === 0 ? 1 : served.length / part.length / all;
    };
    const minShare = (keyOf: (request: HeavyRequest) => string): number =>
      Math.min(
        ...[...new Set(requests.map(keyOf))].map((key) =>
          relativeShare((request) => keyOf(request) === key),
        ),
      );
    const bySize = [...requests].sort(
      (a, b) => b.credit / b.kind.meanCredit - a.credit / a.kind.meanCredit,
    );
    const largest = new Set(bySize.slice(0, Math.ceil(requests.length * largestFraction)));
    return {
      requestCount: requests.length,
      inTime: inTime.length,
      late: withResult('late').length,
      refused: withResult('refused').length,
      creditInTime: totalCredit(inTime) / offeredCredit,
      optimalCredit: this.optimalCredit(requests) / offeredCredit,
      minWorkspaceShare: minShare(({ workspace }) => workspace),
      minKindShare: minShare(({ kind }) => kind.name),
      largestTenthShare: relativeShare((request) => largest.has(request)),
    };
  }

  /** Credit within the engines' total time when requests arrive exactly when there is capacity. */
  private optimalCredit(requests: readonly HeavyRequest[]): number {
    const { engines, seconds } = this.shape;
    const { stepsPerPass } = heavyProfile.engine!;
    const workOf = ({ promptTokens, events }: HeavyRequest): number =>
      this.model.workMs(promptTokens, events * stepsPerPass);
    let remainingMs = engines * seconds * secondMs;
    let credit = 0;
    [...requests]
      .sort((a, b) => b.credit / workOf(b) - a.credit / workOf(a))
      .forEach((request) => {
        const part = Math.max(0, Math.min(1, remainingMs / workOf(request)));
        credit += request.credit * part;
        remainingMs -= workOf(request);
      });
    return credit;
  }
}
