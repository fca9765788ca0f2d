import { SeededRandom } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';
import { CrashEvidence, quarantineKey } from '@laburnumstream/decisions';
import type { Quarantine, CrashUpdate } from '@laburnumstream/decisions';

/** Parameters of a simulated fleet whose endpoints crash on one part of prompts. */
export interface CrashHistory {
  readonly seed: number;
  readonly entries: number;
  readonly endpoints: number;
  /** Time until entries hear each other, in milliseconds. */
  readonly updateDelayMs: number;
  /** Requests with the part per second. */
  readonly badPerSecond: number;
  /** Times at which endpoints end for other reasons, and how many at once. */
  readonly otherEnds: readonly { readonly atMs: number; readonly count: number }[];
  /** Times at which an entry restarts and forgets all but what the others tell. */
  readonly restarts: readonly { readonly atMs: number; readonly entry: number }[];
}

/** What happened in a history. */
export interface CrashOutcome {
  /** Requests with the part that were sent later than the bound after the fifth crash. */
  lateBad: number;
  soundSent: number;
  soundRefused: number;
  crashes: number;
}

interface RunningRequest {
  readonly entry: number;
  readonly traits: ReadonlySet<string>;
  readonly isBad: boolean;
  /** Time at which it begins to be answered. */
  readonly beginsAt: number;
  readonly endsAt: number;
  /** Whether it may be sent to one more endpoint. */
  readonly isRepeatable: boolean;
}

interface SimulatedEndpoint {
  generation: number;
  upAt: number;
  running: RunningRequest[];
}

const stepMs = 20;
const lengthMs = 30_000;
const badFromMs = 5_000;
const soundPerSecond = 40;
const restartMs = 3_000;
const slots = 12;
const sessions = 60;
const firstParts = ['part:first-a', 'part:first-b'];
const badPart = 'part:bad';
/** Time after the fifth crash, and after the start of an entry, from which the bound holds. */
const boundMs = 3_000;
const secondMs = 1_000;
const crashDelayMs = 60;

const emptyUpdate: CrashUpdate = { crashes: [], survivals: [], quarantines: [], completions: 0 };

/** Simulates entries, endpoints and callers in virtual time, over the evidence that entries keep. */
class CrashSimulation {
  private readonly random: Random;

  private readonly evidence: CrashEvidence[];

  private readonly endpoints: SimulatedEndpoint[];

  private readonly update: {
    readonly at: number;
    readonly to: number;
    readonly update: CrashUpdate;
  }[] = [];

  /** What entries have recorded in the store, for those that start later. */
  private readonly records: { readonly at: number; readonly update: CrashUpdate }[] = [];

  /** Time of the last start of each entry. */
  private readonly restartedAt: number[];

  private fifthCrashAt = Infinity;

  private badCrashes = 0;

  private sent = 0;

  private readonly outcome: CrashOutcome = {
    lateBad: 0,
    soundSent: 0,
    soundRefused: 0,
    crashes: 0,
  };

  constructor(private readonly history: CrashHistory) {
    this.random = new SeededRandom(history.seed);
    this.evidence = Array.from({ length: history.entries }, () => new CrashEvidence());
    this.restartedAt = this.evidence.map(() => -Infinity);
    this.endpoints = Array.from({ length: history.endpoints }, () => ({
      generation: 0,
      upAt: 0,
      running: [],
    }));
  }

  run(): CrashOutcome {
    for (let now = 0; now < lengthMs; now += stepMs) this.step(now);
    return this.outcome;
  }

  private step(now: number): void {
    const { otherEnds, restarts, badPerSecond } = this.history;
    const isDue = ({ atMs }: { readonly atMs: number }): boolean =>
      atMs > now - stepMs && atMs <= now;
    restarts.filter(isDue).forEach(({ entry }) => this.restart(entry, now));
    otherEnds.filter(isDue).forEach(({ count }) => {
      this.endpoints.slice(0, count).forEach((endpoint, index) => this.crash(endpoint, index, now));
    });
    this.deliverUpdate(now);
    this.evidence.forEach((own, entry) => {
      const { quarantined, released } = own.settle(now, () => -Infinity);
      if (quarantined.length > 0)
        this.tell(entry, { ...emptyUpdate, quarantines: quarantined }, now);
      released.forEach((quarantine) => this.release(quarantine));
    });
    this.endpoints.forEach((endpoint, index) => this.progress(endpoint, index, now));
    if (this.random.next() < (soundPerSecond * stepMs) / secondMs) this.arrive(false, now);
    if (now >= badFromMs && this.random.next() < (badPerSecond * stepMs) / secondMs)
      this.arrive(true, now);
  }

  private pick(count: number): number {
    return Math.floor(this.random.next() * count);
  }

  private arrive(isBad: boolean, now: number): void {
    this.sent += 1;
    const traits = new Set([
      firstParts[this.pick(firstParts.length)]!,
      `part:session-${this.pick(sessions)}`,
      `request:${this.sent}`,
      ...(isBad ? [badPart] : []),
    ]);
    this.send({ entry: this.pick(this.history.entries), traits, isBad, isRepeatable: true }, now);
  }

  private send(
    request: Pick<RunningRequest, 'entry' | 'traits' | 'isBad' | 'isRepeatable'>,
    now: number,
  ): void {
    const { entry, traits, isBad } = request;
    const isRefused = this.evidence[entry]!.quarantines.find(traits) !== undefined;
    if (!isBad) this.outcome.soundSent += 1;
    if (isRefused && !isBad) this.outcome.soundRefused += 1;
    const free = this.endpoints.filter(
      ({ upAt, running }) => upAt <= now && running.length < slots,
    );
    if (isRefused || free.length === 0) return;
    const isBound = now > this.restartedAt[entry]! + boundMs;
    if (isBad && isBound && now > this.fifthCrashAt + boundMs) this.outcome.lateBad += 1;
    const beginsAt = now + 50 + this.pick(300);
    const endsAt = beginsAt + 300 + this.pick(1_500);
    free[this.pick(free.length)]!.running.push({ ...request, beginsAt, endsAt });
  }

  private progress(endpoint: SimulatedEndpoint, index: number, now: number): void {
    const isDue = endpoint.running.some(
      ({ isBad, beginsAt }) => isBad && beginsAt + crashDelayMs <= now,
    );
    if (isDue) {
      this.badCrashes += 1;
      if (this.badCrashes === 5) this.fifthCrashAt = now;
      this.crash(endpoint, index, now);
      return;
    }
    const ended = endpoint.running.filter(({ endsAt }) => endsAt <= now);
    ended.forEach(({ entry, traits }) => this.evidence[entry]!.recordSurvival(traits, now));
    Object.assign(endpoint, { running: endpoint.running.filter(({ endsAt }) => endsAt > now) });
  }

  private crash(endpoint: SimulatedEndpoint, index: number, now: number): void {
    if (endpoint.upAt > now) return;
    this.outcome.crashes += 1;
    const { running, generation } = endpoint;
    const name = `e${index}@${generation}`;
    Object.assign(endpoint, { running: [], generation: generation + 1, upAt: now + restartMs });
    running.forEach(({ entry, traits }) => this.evidence[entry]!.recordCrash(name, now, traits));
    new Set(running.map(({ entry }) => entry)).forEach((entry) =>
      this.tell(entry, this.evidence[entry]!.report([name], now), now),
    );
    running
      .filter(({ isRepeatable }) => isRepeatable)
      .forEach((request) => this.send({ ...request, isRepeatable: false }, now));
  }

  private tell(from: number, update: CrashUpdate, now: number): void {
    const at = now + this.history.updateDelayMs;
    this.records.push({ at, update });
    this.evidence.forEach((_, to) => {
      if (to !== from) this.update.push({ at, to, update });
    });
  }

  /** Delivers what entries told each other; each adds what it knows of the same crashes. */
  private deliverUpdate(now: number): void {
    const due = this.update.filter(({ at }) => at <= now);
    this.update.splice(0, this.update.length, ...this.update.filter(({ at }) => at > now));
    due.forEach(({ to, update }) => this.evidence[to]!.merge(update, now));
  }

  private release(quarantine: Quarantine): void {
    this.evidence.forEach((own) => own.release(quarantine));
    const key = quarantineKey(quarantine);
    const kept = this.records.filter(
      ({ update }) => !update.quarantines.some((other) => quarantineKey(other) === key),
    );
    this.records.splice(0, this.records.length, ...kept);
  }

  /** An entry that starts reads from the store what entries have recorded. */
  private restart(entry: number, now: number): void {
    const own = new CrashEvidence();
    this.restartedAt[entry % this.evidence.length] = now;
    this.records.filter(({ at }) => at <= now).forEach(({ update }) => own.merge(update, now));
    this.evidence[entry % this.evidence.length] = own;
  }
}

/** Runs a history to its end. */
export function simulateCrashes(history: CrashHistory): CrashOutcome {
  return new CrashSimulation(history).run();
}
