import { AdmissionLimit } from '@laburnumstream/decisions';
import type { AdmittedWork } from '@laburnumstream/decisions';

/** One step of a history. */
export type AdmissionStep =
  | { readonly kind: 'arrive'; readonly units: number; readonly count: number }
  | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'restart' }
  | { readonly kind: 'replace' }
  | { readonly kind: 'report'; readonly lagMs: number };

/** Bounds of the modelled endpoint and of its admission. */
export interface AdmissionModel {
  readonly coldLimit: number;
  readonly warmAfterUnits: number;
  readonly capacity: number;
  readonly hasReports: boolean;
}

interface RunningWork {
  readonly units: number;
  readonly work: AdmittedWork;
  readonly boot: number;
  readonly endsAt: number;
}

interface Report {
  readonly at: number;
  readonly boot: number;
  readonly capacity: number;
}

const durationMs = 120;
const tokenMs = 10;
/** Time after which work on a silent connection is given up. */
const silenceMs = 5_000;

/** An endpoint in virtual time behind an admission limit, over resets and lagging reports. */
export class AdmissionHistory {
  readonly admission: AdmissionLimit;

  /** Most units at once on a cold boot, but for work that ran alone. */
  mostWhileCold = 0;

  /** Most units on a boot whose start was not noticed yet, beyond limit and work on dead boots. */
  mostUnnoticed = -Infinity;

  finished = 0;

  private now = 0;

  private boot = 0;

  /** The newest boot whose start the agent was told of, by reset connections or a report. */
  private noticedBoot = 0;

  private reportedBoot = 0;

  private mostHere = 0;

  private served = 0;

  private running: RunningWork[] = [];

  private readonly backlog: number[] = [];

  private reports: Report[] = [];

  constructor(private readonly model: AdmissionModel) {
    const { coldLimit, capacity } = model;
    this.admission = new AdmissionLimit({ coldLimit, maxLimit: capacity });
  }

  apply(step: AdmissionStep): void {
    if (step.kind === 'arrive') this.arrive(step.units, step.count);
    if (step.kind === 'advance') this.advance(step.ms);
    if (step.kind === 'restart') this.restart();
    if (step.kind === 'replace') this.startBoot();
    if (step.kind === 'report') this.sendReport(step.lagMs);
    this.pump();
  }

  /** Most units at once on the present boot. */
  get mostOnBoot(): number {
    return this.mostHere;
  }

  private get isCold(): boolean {
    return this.served < this.model.warmAfterUnits;
  }

  private arrive(units: number, count: number): void {
    for (let index = 0; index < count; index += 1) this.backlog.push(units);
  }

  private startBoot(): void {
    this.boot += 1;
    this.mostHere = 0;
    this.served = 0;
  }

  /** All connections break: the agent sees it at once. */
  private restart(): void {
    this.startBoot();
    this.noticedBoot = this.boot;
    this.admission.turnCold(this.now);
    this.running.forEach(({ work }) => this.admission.finish(work, false, this.now));
    this.running = [];
  }

  private sendReport(lagMs: number): void {
    if (!this.model.hasReports) return;
    const capacity = this.isCold ? this.model.coldLimit : this.model.capacity;
    this.reports.push({ at: this.now + lagMs, boot: this.boot, capacity });
  }

  private advance(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += tokenMs;
      this.takeReports();
      this.runWork();
      this.pump();
    }
  }

  private takeReports(): void {
    this.reports
      .filter(({ at }) => at <= this.now)
      .forEach(({ boot, capacity }) => {
        if (boot !== this.reportedBoot) this.admission.turnCold(this.now);
        this.reportedBoot = boot;
        this.noticedBoot = Math.max(this.noticedBoot, boot);
        this.admission.applyReport(capacity, this.now);
      });
    this.reports = this.reports.filter(({ at }) => at > this.now);
  }

  private runWork(): void {
    [...this.running].forEach((each) => {
      const isAlive = each.boot === this.boot;
      if (isAlive) this.admission.recordProgress(each.work.epoch, this.now);
      this.pump();
      if (!this.isOver(each)) return;
      this.running = this.running.filter((other) => other !== each);
      if (isAlive) this.served += each.units;
      if (isAlive) this.finished += 1;
      if (!isAlive) this.admission.turnCold(this.now);
      this.admission.finish(each.work, isAlive, this.now);
    });
  }

  private isOver({ boot, endsAt }: RunningWork): boolean {
    return this.now >= (boot === this.boot ? endsAt : endsAt + silenceMs);
  }

  private pump(): void {
    while (this.backlog.length > 0 && this.admission.fits(this.backlog[0]!, this.now)) {
      const units = this.backlog.shift()!;
      const work = this.admission.start(units, this.now);
      this.running.push({ units, work, boot: this.boot, endsAt: this.now + durationMs });
      this.check();
    }
  }

  private check(): void {
    const here = this.running.filter(({ boot }) => boot === this.boot);
    const units = here.reduce((sum, each) => sum + each.units, 0);
    this.mostHere = Math.max(this.mostHere, units);
    if (!this.isCold || here.length < 2) return;
    const dead = this.running.filter(({ boot }) => boot !== this.boot);
    const deadUnits = dead.reduce((sum, each) => sum + each.units, 0);
    if (deadUnits === 0 && this.noticedBoot === this.boot) {
      this.mostWhileCold = Math.max(this.mostWhileCold, units);
    }
    const excess = units + deadUnits - Math.max(this.admission.limit, this.model.coldLimit);
    this.mostUnnoticed = Math.max(this.mostUnnoticed, excess);
  }
}
