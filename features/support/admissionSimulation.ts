import { AdmissionLimit } from '@laburnumstream/decisions';
import type { AdmittedWork } from '@laburnumstream/decisions';

/** One step of a history. */
export type AdmissionStep =
  | { readonly kind: 'arrive'; readonly units: number; readonly count: number }
  | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'restart' }
  | { readonly kind: 'replace' }
  | { readonly kind: 'report'; readonly lagMs: number };

/** Parameters of the simulated endpoint and of its admission limit. */
export interface EndpointModel {
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
const tickMs = 10;
/** Time after its expected end at which work of an earlier boot is given up, in milliseconds. */
const abandonAfterMs = 5_000;

/** Simulates an endpoint behind an admission limit, with restarts and delayed load reports. */
export class AdmissionSimulation {
  readonly admission: AdmissionLimit;

  /**
   * Maximum concurrent units on a cold boot, once its start is noticed and no work of earlier boots
   * is left. A request that runs alone doesn't count.
   */
  maxWhileCold = 0;

  /**
   * Maximum of the concurrent units, work left from earlier boots included, beyond the larger of
   * the admission limit and the cold limit while the endpoint is cold.
   */
  maxUnnoticedExcess = -Infinity;

  finishedRequests = 0;

  private now = 0;

  private boot = 0;

  /** The newest boot that the agent has noticed, by broken connections or a report. */
  private noticedBoot = 0;

  private reportedBoot = 0;

  private maxOnCurrentBoot = 0;

  private servedUnits = 0;

  private running: RunningWork[] = [];

  private readonly backlog: number[] = [];

  private reports: Report[] = [];

  constructor(private readonly model: EndpointModel) {
    const { coldLimit, capacity } = model;
    this.admission = new AdmissionLimit({ coldLimit, maxLimit: capacity });
  }

  apply(step: AdmissionStep): void {
    if (step.kind === 'arrive') this.arrive(step.units, step.count);
    if (step.kind === 'advance') this.advance(step.ms);
    if (step.kind === 'restart') this.restart();
    if (step.kind === 'replace') this.startBoot();
    if (step.kind === 'report') this.sendReport(step.lagMs);
    this.dispatch();
  }

  /** Maximum concurrent units on the current boot. */
  get maxOnBoot(): number {
    return this.maxOnCurrentBoot;
  }

  private get isCold(): boolean {
    return this.servedUnits < this.model.warmAfterUnits;
  }

  private arrive(units: number, count: number): void {
    for (let index = 0; index < count; index += 1) this.backlog.push(units);
  }

  private startBoot(): void {
    this.boot += 1;
    this.maxOnCurrentBoot = 0;
    this.servedUnits = 0;
  }

  /** Restarts the endpoint and breaks all connections, which the agent notices at once. */
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
      this.now += tickMs;
      this.applyDueReports();
      this.stepRunningWork();
      this.dispatch();
    }
  }

  private applyDueReports(): void {
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

  private stepRunningWork(): void {
    [...this.running].forEach((each) => {
      const isAlive = each.boot === this.boot;
      if (isAlive) this.admission.recordProgress(each.work.epoch, this.now);
      this.dispatch();
      if (!this.hasEnded(each)) return;
      this.running = this.running.filter((other) => other !== each);
      if (isAlive) this.servedUnits += each.units;
      if (isAlive) this.finishedRequests += 1;
      if (!isAlive) this.admission.turnCold(this.now);
      this.admission.finish(each.work, isAlive, this.now);
    });
  }

  private hasEnded({ boot, endsAt }: RunningWork): boolean {
    return this.now >= (boot === this.boot ? endsAt : endsAt + abandonAfterMs);
  }

  private dispatch(): void {
    while (this.backlog.length > 0 && this.admission.fits(this.backlog[0]!, this.now)) {
      const units = this.backlog.shift()!;
      const work = this.admission.start(units, this.now);
      this.running.push({ units, work, boot: this.boot, endsAt: this.now + durationMs });
      this.updateMaxima();
    }
  }

  private updateMaxima(): void {
    const current = this.running.filter(({ boot }) => boot === this.boot);
    const units = current.reduce((sum, each) => sum + each.units, 0);
    this.maxOnCurrentBoot = Math.max(this.maxOnCurrentBoot, units);
    if (!this.isCold || current.length < 2) return;
    const stale = this.running.filter(({ boot }) => boot !== this.boot);
    const staleUnits = stale.reduce((sum, each) => sum + each.units, 0);
    if (staleUnits === 0 && this.noticedBoot === this.boot) {
      this.maxWhileCold = Math.max(this.maxWhileCold, units);
    }
    const excess = units + staleUnits - Math.max(this.admission.limit, this.model.coldLimit);
    this.maxUnnoticedExcess = Math.max(this.maxUnnoticedExcess, excess);
  }
}
