import { SeededRandom, Unavailable } from '@laburnumstream/common';
import type { ServiceProfile } from '@laburnumstream/common';
import { EngineModel } from '@laburnumstream/decisions';
import { VirtualClock } from '@laburnumstream/standins';
import { heavyLoad } from './heavyLoad.js';
import type { HeavyRequest } from './heavyLoad.js';
import { VirtualEngine } from './virtualEngine.js';
import { regionOf, ways } from './ways.js';
import type { Way } from './ways.js';

/** A load on a deployment in virtual time. */
export interface HeavyShape {
  readonly seed: number;
  readonly way: string;
  readonly engines: number;
  readonly entries: number;
  readonly regions: number;
  /** Times the rates of the sheet. */
  readonly factor: number;
  readonly seconds: number;
}

/** Counts of requests, or their credit. */
export interface HeavyCounts {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
}

/** What a run showed. */
export interface HeavyOutcome extends HeavyCounts {
  /** Credit of requests in time, of that of all. */
  readonly creditInTime: number;
  /** The most of it that engines can do which know all sizes and never wait. */
  readonly creditAtBest: number;
  /** Share in time of each workspace, kind and of the largest tenth, of that of all. */
  readonly leastWorkspaceShare: number;
  readonly leastKindShare: number;
  readonly largestShare: number;
}

/** Timing of the engines of both sites, as their configuration states it. */
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

const reportMs = 300;
const shareMs = 10;
const secondMs = 1_000;
const pauseGoalMs = 300;
const timeoutMs = 6_000;
/** Time after the last arrival until all requests have ended. */
const tailMs = 8_000;
const largestPart = 0.1;

type Result = 'inTime' | 'late' | 'refused';

/** Runs a load in virtual time against one way of admission. */
export class HeavyDay {
  private readonly clock = new VirtualClock();

  private readonly random: SeededRandom;

  private readonly engines: VirtualEngine[];

  private readonly entries: Way[];

  private readonly model = new EngineModel(heavyProfile.engine!);

  private readonly results = new Map<HeavyRequest, Result>();

  constructor(private readonly shape: HeavyShape) {
    const { seed, way, engines, entries, regions } = shape;
    this.random = new SeededRandom(seed);
    this.engines = Array.from({ length: engines }, () => new VirtualEngine(this.model, this.clock));
    this.entries = Array.from({ length: entries }, (_, entry) =>
      ways[way]!({
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
    const { factor, seconds } = this.shape;
    const requests = heavyLoad(factor, seconds, this.random);
    const endAt = seconds * secondMs + tailMs;
    requests.forEach((request) =>
      this.clock.schedule(request.arrivesAt, () => void this.ask(request, false)),
    );
    for (let at = 0; at < endAt; at += reportMs) this.clock.schedule(at, () => this.report());
    for (let at = 0; at < endAt; at += shareMs) this.clock.schedule(at, () => this.share());
    await this.clock.runUntil(endAt);
    return this.outcome(requests);
  }

  private async ask(request: HeavyRequest, isReturned: boolean): Promise<void> {
    // Callers are spread unevenly.
    const index = Math.floor(this.entries.length * this.random.next() ** 1.2);
    const { entry } = this.entries[index]!;
    const left = AbortSignal.any([]);
    try {
      const engine = await entry.place(request, isReturned, left);
      this.send(request, engine, entry);
    } catch (error) {
      if (!(error instanceof Unavailable)) throw error;
      if (isReturned) {
        this.results.set(request, 'refused');
        return;
      }
      await this.clock.sleep(error.retryAfterMs ?? 0);
      await this.ask(request, true);
    }
  }

  private send(request: HeavyRequest, engine: number, entry: Way['entry']): void {
    let lastAt: number | undefined;
    let isInTime = true;
    const onEvent = (at: number): void => {
      if (lastAt === undefined) {
        entry.wasRead(engine, request);
        isInTime = at - request.arrivesAt <= request.kind.goalMs;
      } else if (at - lastAt > pauseGoalMs) isInTime = false;
      lastAt = at;
    };
    const onEnd = (): void => {
      entry.ended(engine);
      const isServed = this.clock.now() - request.arrivesAt <= timeoutMs;
      const served = isInTime ? 'inTime' : 'late';
      this.results.set(request, isServed ? served : 'refused');
    };
    const { promptTokens, events } = request;
    this.engines[engine]!.send({ promptTokens, events, onEvent, onEnd });
  }

  /** Agents report their engines to all entries. */
  private report(): void {
    const { regions, entries: count } = this.shape;
    const now = this.clock.now();
    this.entries.forEach(({ handles }, entry) =>
      handles.forEach((handle, engine) => {
        const isNear = regionOf(engine, regions) === regionOf(entry, regions);
        const near = Math.ceil((count - regionOf(engine, regions)) / regions);
        const sharers = { local: near, remote: count - near, isLocal: isNear };
        handle.applyLoadReport(this.engines[engine]!.load, sharers, this.random, now);
      }),
    );
  }

  /** Entries of a region tell each other their loads. */
  private share(): void {
    const { regions } = this.shape;
    const now = this.clock.now();
    this.entries.forEach(({ handles }, entry) =>
      this.entries.forEach((other, index) => {
        if (index === entry || regionOf(index, regions) !== regionOf(entry, regions)) return;
        handles.forEach((handle, engine) => {
          if (!handle.isLocal) return;
          other.handles[engine]!.load.updatePeer(`entry-${entry}`, handle.load.ownLoad, now);
        });
      }),
    );
  }

  private outcome(requests: readonly HeavyRequest[]): HeavyOutcome {
    const results = (kind: Result): HeavyRequest[] =>
      requests.filter((request) => (this.results.get(request) ?? 'refused') === kind);
    const inTime = results('inTime');
    const creditOf = (all: readonly HeavyRequest[]): number =>
      all.reduce((sum, { credit }) => sum + credit, 0);
    const owed = creditOf(requests);
    const shareOf = (isPart: (request: HeavyRequest) => boolean): number => {
      const part = requests.filter(isPart);
      const served = part.filter((request) => this.results.get(request) === 'inTime');
      const all = inTime.length / requests.length;
      return part.length === 0 ? 1 : served.length / part.length / all;
    };
    const least = (keyOf: (request: HeavyRequest) => string): number =>
      Math.min(
        ...[...new Set(requests.map(keyOf))].map((key) =>
          shareOf((request) => keyOf(request) === key),
        ),
      );
    const bySize = [...requests].sort((a, b) => b.credit / b.kind.worth - a.credit / a.kind.worth);
    const largest = new Set(bySize.slice(0, Math.ceil(requests.length * largestPart)));
    return {
      asked: requests.length,
      inTime: inTime.length,
      late: results('late').length,
      refused: results('refused').length,
      creditInTime: creditOf(inTime) / owed,
      creditAtBest: this.atBest(requests) / owed,
      leastWorkspaceShare: least(({ workspace }) => workspace),
      leastKindShare: least(({ kind }) => kind.name),
      largestShare: shareOf((request) => largest.has(request)),
    };
  }

  /** Credit that engines could do within the time if requests came when there is room for them. */
  private atBest(requests: readonly HeavyRequest[]): number {
    const { engines, seconds } = this.shape;
    const { stepsPerPass: stride } = heavyProfile.engine!;
    const workOf = ({ promptTokens, events }: HeavyRequest): number =>
      this.model.workMs(promptTokens, events * stride);
    let leftMs = engines * seconds * secondMs;
    let credit = 0;
    [...requests]
      .sort((a, b) => b.credit / workOf(b) - a.credit / workOf(a))
      .forEach((request) => {
        const part = Math.max(0, Math.min(1, leftMs / workOf(request)));
        credit += request.credit * part;
        leftMs -= workOf(request);
      });
    return credit;
  }
}
