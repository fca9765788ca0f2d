import { SeededRandom, Unavailable } from '@laburnumstream/common';
import { EngineModel, reportIntervalMs } from '@laburnumstream/decisions';
import type { EndpointHandle } from '@laburnumstream/forwarding';
import type { DatagramContent } from '@laburnumstream/links';
import type { DemandReport } from '@laburnumstream/protocol';
import { VirtualClock } from '@laburnumstream/standins';
import { competingClasses, competingProfile } from './competingClasses.js';
import type { CompetingClass } from './competingClasses.js';
import { VirtualEngine } from './virtualEngine.js';
import { VirtualRegionEntry, modelService } from './virtualRegionEntry.js';
import type { ClassRequest, VirtualPlace } from './virtualRegionEntry.js';

/** One region of a simulated fleet. */
export interface RegionShape {
  readonly entries: number;
  readonly engines: number;
  /** Requests per second of all classes. */
  readonly perSecond: number;
}

/** A change of the load or the fleet from one time on, in milliseconds, up to another. */
export interface Phase {
  readonly from: number;
  readonly to: number;
}

/** A simulated fleet and its load. */
export interface UnevenShape {
  readonly seed: number;
  readonly seconds: number;
  readonly regions: readonly RegionShape[];
  /** Whether priorities and regions are adapted to. */
  readonly isAdaptive: boolean;
  /** Factors on the rates by priority; 1 by default. */
  readonly classFactors?: readonly number[];
  /** Time in which one priority sends more requests. */
  readonly jump?: Phase & { readonly priority: number; readonly factor: number };
  /** Time in which the engines of a region are evacuated, by its index. */
  readonly evacuation?: Phase & { readonly region: number };
  /** Time in which entries hear nothing of each other. */
  readonly silence?: Phase;
}

/** Result of one request. */
export interface ClassResult {
  readonly request: ClassRequest;
  readonly region: number;
  readonly result: 'inTime' | 'late' | 'refused';
  /** Whether it was served at an engine of another region. */
  readonly isRemote: boolean;
}

/** Served and timely parts of some requests. */
export interface ServedParts {
  readonly requests: number;
  readonly served: number;
  readonly inTime: number;
  /** Part of the value of all that was earned. */
  readonly value: number;
}

const secondMs = 1_000;
const deadlineMs = 6_030;
const drainMs = 8_000;
const loadShareMs = 20;
const exchangeMs = 200;
const datagramMs = 2;
const workspaces = 10;
const deviations = { prompt: 0.7, events: 0.5 } as const;
const maxEvents = 60;

function lognormal(random: SeededRandom, deviation: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.exp(normal * deviation - deviation ** 2 / 2);
}

function isWithin(phase: Phase | undefined, at: number): boolean {
  return phase !== undefined && at >= phase.from && at < phase.to;
}

/** Parts of some results. */
export function summarize(results: readonly ClassResult[]): ServedParts {
  const valueOf = ({ request: { kind }, result }: ClassResult): number => {
    if (result === 'inTime') return kind.value;
    return result === 'late' ? kind.lateValue : 0;
  };
  const count = (wanted: ClassResult['result']): number =>
    results.filter(({ result }) => result === wanted).length;
  const all = Math.max(1, results.length);
  const offered = results.reduce((sum, { request }) => sum + request.kind.value, 0);
  return {
    requests: results.length,
    served: (count('inTime') + count('late')) / all,
    inTime: count('inTime') / all,
    value: results.reduce((sum, each) => sum + valueOf(each), 0) / Math.max(1, offered),
  };
}

/** Regions with uneven demand and classes that compete, in virtual time, with the product's own decisions. */
export class UnevenRegions {
  readonly results: ClassResult[] = [];

  readonly entries: readonly VirtualRegionEntry[];

  private readonly clock = new VirtualClock();

  private readonly random: SeededRandom;

  private readonly model = new EngineModel(competingProfile.engine!);

  private readonly engines: readonly VirtualEngine[];

  private readonly entryPlaces: readonly VirtualPlace[];

  private readonly enginePlaces: readonly VirtualPlace[];

  private readonly entryOfHost: ReadonlyMap<string, VirtualRegionEntry>;

  constructor(private readonly shape: UnevenShape) {
    const { seed, isAdaptive } = shape;
    this.random = new SeededRandom(seed);
    this.entryPlaces = this.createPlaces('entry', 10, ({ entries }) => entries);
    this.enginePlaces = this.createPlaces('engine', 20, ({ engines }) => engines);
    this.engines = this.enginePlaces.map(() => new VirtualEngine(this.model, this.clock));
    this.entries = this.entryPlaces.map(
      (self) =>
        new VirtualRegionEntry({
          self,
          entries: this.entryPlaces,
          engines: this.enginePlaces,
          isAdaptive,
          clock: this.clock,
          random: this.random,
          send: (content, hosts) => this.deliver(self, content, hosts),
        }),
    );
    this.entryOfHost = new Map(
      this.entryPlaces.map(({ host }, index) => [host, this.entries[index]!]),
    );
  }

  /** Calls back at an interval while the load is played, in milliseconds. */
  observe(everyMs: number, observer: (now: number) => void): void {
    for (let at = everyMs; at <= this.shape.seconds * secondMs; at += everyMs)
      this.clock.schedule(at, () => observer(at));
  }

  /** Plays the load; the results are complete afterwards. */
  async run(): Promise<readonly ClassResult[]> {
    const { seconds, evacuation } = this.shape;
    const endAt = seconds * secondMs + drainMs;
    this.shape.regions.forEach((region, index) => this.scheduleRequests(region, index));
    this.scheduleReports(endAt);
    this.entries.forEach(({ exchange }, index) => {
      const phase = (index * exchangeMs) / this.entries.length;
      for (let at = phase; at < endAt; at += exchangeMs)
        this.clock.schedule(at, () => exchange.exchange());
    });
    for (let at = 0; at < endAt; at += loadShareMs)
      this.clock.schedule(at, () => this.shareLoads());
    if (evacuation) {
      const set = (isActive: boolean): void =>
        this.entries.forEach(({ state }) =>
          state.setEvacuation(`r${evacuation.region}`, isActive, this.clock.now()),
        );
      this.clock.schedule(evacuation.from, () => set(true));
      this.clock.schedule(evacuation.to, () => set(false));
    }
    await this.clock.runUntil(endAt);
    return this.results;
  }

  private createPlaces(
    kind: string,
    net: number,
    countOf: (shape: RegionShape) => number,
  ): VirtualPlace[] {
    return this.shape.regions.flatMap((shape, region) =>
      Array.from({ length: countOf(shape) }, (_, index) => ({
        name: `${kind}-${region}-${index}`,
        host: `10.${net}.${region}.${index + 1}`,
        region: `r${region}`,
      })),
    );
  }

  private scheduleRequests({ perSecond }: RegionShape, region: number): void {
    const { seconds, jump, classFactors } = this.shape;
    const total = competingClasses.reduce((sum, each) => sum + each.perSecond, 0);
    competingClasses.forEach((kind, index) => {
      const rate = ((perSecond * kind.perSecond) / total) * (classFactors?.[index] ?? 1);
      const maxRate = rate * Math.max(1, jump?.priority === index ? jump.factor : 1);
      for (let at = 0, number = 0; ; number += 1) {
        at -= (Math.log(1 - this.random.next()) * secondMs) / maxRate;
        if (at >= seconds * secondMs) return;
        const factor = jump?.priority === index && isWithin(jump, at) ? jump.factor : 1;
        // Thinning gives the lower rate outside of the jump.
        if (this.random.next() < (rate * factor) / maxRate) {
          const request = this.drawRequest(kind, `${region}-${index}-${number}`, at);
          this.clock.schedule(at, () => void this.submit(request, region, false));
        }
      }
    });
  }

  private drawRequest(kind: CompetingClass, id: string, arrivesAt: number): ClassRequest {
    const promptTokens = Math.round(
      kind.meanPromptTokens * Math.min(4, lognormal(this.random, deviations.prompt)),
    );
    const drawn = Math.round(kind.meanEvents * lognormal(this.random, deviations.events));
    const events = Math.max(1, Math.min(maxEvents, drawn));
    const workspace = `w${Math.floor(workspaces * this.random.next() ** 2.5)}`;
    return { id, kind, workspace, arrivesAt, promptTokens, events };
  }

  private async submit(request: ClassRequest, region: number, isRetry: boolean): Promise<void> {
    const candidates = this.entries.filter((_, index) => this.regionOfEntry(index) === region);
    const entry = candidates[Math.floor(candidates.length * this.random.next())]!;
    try {
      const target = await entry.place(request, isRetry);
      this.send(request, region, entry, target);
    } catch (error) {
      if (!(error instanceof Unavailable)) throw error;
      if (isRetry) {
        this.results.push({ request, region, result: 'refused', isRemote: false });
        return;
      }
      await this.clock.sleep(error.retryAfterMs ?? 0);
      await this.submit(request, region, true);
    }
  }

  private send(
    request: ClassRequest,
    region: number,
    entry: VirtualRegionEntry,
    target: EndpointHandle,
  ): void {
    const { promptTokens, events, arrivesAt, kind } = request;
    const engine = this.engines[entry.handles.indexOf(target)]!;
    let firstAt: number | undefined;
    engine.send({
      promptTokens,
      events,
      onEvent: (at) => {
        if (firstAt === undefined) target.load.recordPrefill(target.model!.prefillMs(promptTokens));
        firstAt ??= at;
      },
      onEnd: () => {
        target.load.recordEnd();
        entry.queue.dispatch(modelService, target);
        const isServed = this.clock.now() - arrivesAt <= deadlineMs;
        const served = firstAt! - arrivesAt <= kind.goalMs ? 'inTime' : 'late';
        const result = isServed ? served : 'refused';
        this.results.push({ request, region, result, isRemote: !target.isLocal });
      },
    });
  }

  /** Agents report to each entry at its own phase, less often to those of other regions. */
  private scheduleReports(endAt: number): void {
    this.entries.forEach((entry) =>
      entry.handles.forEach((handle, engine) => {
        const report = (): void => {
          if (this.clock.now() >= endAt) return;
          this.applyReport(entry, handle, engine);
          const { local, remote } = entry.directory.getCapacitySharers(handle.region);
          const isReliant = this.shape.isAdaptive && entry.demand.room.isReliant(modelService);
          const entries = handle.isLocal ? local : remote;
          const everyMs = reportIntervalMs({ entries, isLocal: handle.isLocal, isReliant });
          this.clock.schedule(this.clock.now() + everyMs, report);
        };
        this.clock.schedule(this.random.next() * 200, report);
      }),
    );
  }

  private applyReport(entry: VirtualRegionEntry, handle: EndpointHandle, engine: number): void {
    const { load } = this.engines[engine]!;
    const held = entry.regionRequests.get(handle) ?? handle.load.ownRequests;
    const sharers = this.shape.isAdaptive
      ? entry.demand.room.getSharers(handle, held)
      : entry.directory.getCapacitySharers(handle.region);
    handle.applyLoadReport(load, sharers, this.random, this.clock.now());
    entry.queue.dispatch(modelService, handle);
  }

  /** Entries of a region tell each other their loads at its engines. */
  private shareLoads(): void {
    const now = this.clock.now();
    if (isWithin(this.shape.silence, now)) return;
    this.engines.forEach((_, engine) => {
      const local = this.entries.filter(({ handles }) => handles[engine]!.isLocal);
      const loads = local.map(({ handles }) => handles[engine]!.load.ownLoad);
      const sum = loads.reduce((total, { requests }) => total + requests, 0);
      local.forEach((entry, index) => {
        const handle = entry.handles[engine]!;
        entry.regionRequests.set(handle, sum);
        loads.forEach((load, other) => {
          if (other !== index) handle.load.updatePeer(`entry-${other}`, load, now);
        });
      });
    });
  }

  private deliver(
    { name }: VirtualPlace,
    content: DatagramContent,
    hosts: readonly string[],
  ): void {
    if (content.case !== 'demand' || isWithin(this.shape.silence, this.clock.now())) return;
    const report = content.value as DemandReport;
    hosts.forEach((host) =>
      this.clock.schedule(this.clock.now() + datagramMs, () =>
        this.entryOfHost.get(host)!.exchange.receive(report, { sender: name }),
      ),
    );
  }

  private regionOfEntry(index: number): number {
    return Number(this.entryPlaces[index]!.region.slice(1));
  }
}
