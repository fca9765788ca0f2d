import { SeededRandom } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';
import { CrashEvidence } from '@laburnumstream/decisions';
import type { CrashUpdate } from '@laburnumstream/decisions';

/** Parameters of a simulated small service one of whose requests is sent again and again. */
export interface RepeatedRequestHistory {
  readonly seed: number;
  readonly entries: number;
  readonly endpoints: number;
  /** Time until entries hear each other, in milliseconds. */
  readonly updateDelayMs: number;
  /** Time after which an endpoint that has ended is back, as another incarnation, in milliseconds. */
  readonly restartMs: number;
  /** Times that the request is completed, at one entry, before anything ends. */
  readonly completedBefore: number;
  /** Whether the request crashes endpoints then. */
  readonly isCrashing: boolean;
  /** Interval at which its callers send it, in milliseconds, and the copies that they send at once. */
  readonly intervalMs: number;
  readonly copies: number;
  /** Time for which it runs, in milliseconds. */
  readonly runMs: number;
  /** Other requests per second, all different. */
  readonly othersPerSecond: number;
  /** Times at which endpoints end for other reasons, and how many at once. */
  readonly otherEnds: readonly { readonly atMs: number; readonly count: number }[];
  /** Times at which an entry restarts and forgets all but what the others and the store tell. */
  readonly restarts: readonly { readonly atMs: number; readonly entry: number }[];
}

/** What happened in a history. */
export interface RepeatedRequestOutcome {
  /** Arrivals of the request later than the bound after the third crash under it. */
  late: number;
  crashes: number;
  /** Whether the request is refused by an entry at the end. */
  isRefused: boolean;
  othersSent: number;
  othersRefused: number;
}

interface RunningRequest {
  readonly entry: number;
  readonly trait: string;
  readonly isRepeated: boolean;
  readonly endsAt: number;
  readonly isRetryable: boolean;
}

interface SimulatedEndpoint {
  generation: number;
  upAt: number;
  running: RunningRequest[];
}

const stepMs = 10;
const lengthMs = 30_000;
/** Time from which the request crashes endpoints, and from which endpoints may end. */
const firstEndMs = 3_000;
const slots = 6;
const repeatedTrait = 'request:repeated';
const crashesBeforeBound = 3;
/** Time after the third crash, and after the start of an entry, from which the bound holds. */
const boundMs = 3_000;
const secondMs = 1_000;
const reportDelayMs = 350;

const emptyUpdate: CrashUpdate = { crashes: [], survivals: [], quarantines: [], completions: 0 };

/** Simulates entries, endpoints and callers in virtual time, over the evidence that entries keep. */
class RepeatedRequestSimulation {
  private readonly random: Random;

  private readonly evidence: CrashEvidence[];

  private readonly endpoints: SimulatedEndpoint[];

  private readonly tasks: { readonly at: number; readonly run: (now: number) => void }[] = [];

  /** What entries have recorded in the store, for those that start later. */
  private readonly records: CrashUpdate[] = [];

  private readonly restartedAt: number[];

  private readonly crashTimes: number[] = [];

  private sent = 0;

  private readonly outcome: RepeatedRequestOutcome = {
    late: 0,
    crashes: 0,
    isRefused: false,
    othersSent: 0,
    othersRefused: 0,
  };

  constructor(private readonly history: RepeatedRequestHistory) {
    this.random = new SeededRandom(history.seed);
    this.evidence = Array.from({ length: history.entries }, () => new CrashEvidence());
    this.restartedAt = this.evidence.map(() => -Infinity);
    this.endpoints = Array.from({ length: history.endpoints }, () => ({
      generation: 0,
      upAt: 0,
      running: [],
    }));
    for (let index = 0; index < history.completedBefore; index += 1)
      this.evidence[0]!.recordSurvival(new Set([repeatedTrait]), 0);
  }

  run(): RepeatedRequestOutcome {
    const { otherEnds, restarts, entries, intervalMs } = this.history;
    otherEnds.forEach(({ atMs, count }) =>
      this.schedule(atMs, (now) => {
        this.endpoints.slice(0, count).forEach((_, index) => this.crash(index, now));
      }),
    );
    restarts.forEach(({ atMs, entry }) =>
      this.schedule(atMs, (now) => this.restart(entry % entries, now)),
    );
    for (let at = firstEndMs; at < lengthMs; at += intervalMs)
      this.schedule(at, (now) => this.sendCopies(now));
    for (let now = stepMs; now < lengthMs; now += stepMs) this.step(now);
    const traits = new Set([repeatedTrait]);
    this.outcome.isRefused = this.evidence.some(({ quarantines }) => quarantines.find(traits));
    return this.outcome;
  }

  private schedule(at: number, run: (now: number) => void): void {
    this.tasks.push({ at, run });
  }

  private step(now: number): void {
    const due = this.tasks.filter(({ at }) => at <= now);
    this.tasks.splice(0, this.tasks.length, ...this.tasks.filter(({ at }) => at > now));
    due.forEach(({ run }) => run(now));
    this.evidence.forEach((own, entry) => {
      const { quarantined, released } = own.settle(now, () => -Infinity);
      if (quarantined.length > 0)
        this.tell(entry, { ...emptyUpdate, quarantines: quarantined }, now);
      released.forEach((quarantine) => this.evidence.forEach((each) => each.release(quarantine)));
    });
    this.endpoints.forEach((endpoint, index) => this.progress(endpoint, index, now));
    if (this.random.next() < (this.history.othersPerSecond * stepMs) / secondMs)
      this.sendOther(now);
  }

  private pick(count: number): number {
    return Math.floor(this.random.next() * count);
  }

  private sendCopies(now: number): void {
    const { copies, runMs } = this.history;
    for (let index = 0; index < copies; index += 1)
      this.send(repeatedTrait, now + runMs + this.pick(runMs), now);
  }

  private sendOther(now: number): void {
    this.sent += 1;
    this.send(`request:${this.sent}`, now + 20 + this.pick(200), now);
  }

  private send(trait: string, endsAt: number, now: number): void {
    const entry = this.pick(this.evidence.length);
    this.place(
      { entry, trait, endsAt, isRepeated: trait === repeatedTrait, isRetryable: true },
      now,
    );
  }

  private place(request: RunningRequest, now: number): void {
    const { entry, trait, isRepeated } = request;
    const own = this.evidence[entry]!;
    const isRefused = own.isHeld(trait) || own.quarantines.find(new Set([trait])) !== undefined;
    if (!isRepeated) this.outcome.othersSent += 1;
    if (isRefused && !isRepeated) this.outcome.othersRefused += 1;
    const free = this.endpoints.filter(
      ({ upAt, running }) => upAt <= now && running.length < slots,
    );
    if (isRefused || free.length === 0) return;
    const thirdAt = this.crashTimes[crashesBeforeBound - 1] ?? Infinity;
    const isBound = now > this.restartedAt[entry]! + boundMs;
    if (isRepeated && isBound && now > thirdAt + boundMs) this.outcome.late += 1;
    free[this.pick(free.length)]!.running.push(request);
  }

  private progress(endpoint: SimulatedEndpoint, index: number, now: number): void {
    const ended = endpoint.running.filter(({ endsAt }) => endsAt <= now);
    if (this.history.isCrashing && ended.some(({ isRepeated }) => isRepeated)) {
      this.crashTimes.push(now);
      this.crash(index, now);
      return;
    }
    ended.forEach(({ entry, trait }) =>
      this.evidence[entry]!.recordSurvival(new Set([trait]), now),
    );
    Object.assign(endpoint, { running: endpoint.running.filter(({ endsAt }) => endsAt > now) });
  }

  private crash(index: number, now: number): void {
    const endpoint = this.endpoints[index]!;
    if (endpoint.upAt > now) return;
    this.outcome.crashes += 1;
    const { running, generation } = endpoint;
    const name = `e${index}@${generation}`;
    const upAt = now + this.history.restartMs;
    Object.assign(endpoint, { running: [], generation: generation + 1, upAt });
    running.forEach(({ entry, trait }) => this.evidence[entry]!.recordCrash(name, now, [trait]));
    new Set(running.map(({ entry }) => entry)).forEach((entry) =>
      this.schedule(now + reportDelayMs, (at) =>
        this.tell(entry, this.evidence[entry]!.report([name], at), at),
      ),
    );
    running
      .filter(({ isRetryable }) => isRetryable)
      .forEach((request) => {
        const endsAt = now + this.history.runMs;
        this.place({ ...request, endsAt, isRetryable: false }, now);
      });
  }

  /** Tells the other entries, each of which answers with the completed requests that it knows of. */
  private tell(from: number, update: CrashUpdate, now: number): void {
    const at = now + this.history.updateDelayMs;
    this.schedule(at, () => this.records.push(update));
    this.evidence.forEach((_, to) => {
      if (to !== from) this.schedule(at, (then) => this.receive(from, to, update, then));
    });
  }

  private receive(from: number, to: number, update: CrashUpdate, now: number): void {
    const survivals = this.evidence[to]!.reportSurvivals(update.crashes, now);
    this.evidence[to]!.merge(update, now);
    const told = new Map(update.survivals.map(({ trait, count }) => [trait, count]));
    const added = survivals.filter(({ trait, count }) => count > (told.get(trait) ?? 0));
    this.schedule(now + this.history.updateDelayMs, (then) =>
      this.evidence[from]!.merge({ ...emptyUpdate, survivals: added }, then),
    );
  }

  /** An entry that starts reads from the store what entries have recorded. */
  private restart(entry: number, now: number): void {
    const own = new CrashEvidence();
    this.restartedAt[entry] = now;
    this.records.forEach((update) => own.merge(update, now));
    this.evidence[entry] = own;
  }
}

/** Runs a history to its end. */
export function simulateRepeatedRequest(history: RepeatedRequestHistory): RepeatedRequestOutcome {
  return new RepeatedRequestSimulation(history).run();
}
