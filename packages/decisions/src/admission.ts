/** Bounds of an endpoint's admission limit, in work units. */
export interface AdmissionBounds {
  /** Work that the endpoint can take right after a cold start. */
  readonly coldLimit: number;
  readonly maxLimit: number;
}

/** Admitted work; a changed epoch means that the endpoint has turned cold since the work started. */
export interface AdmittedWork {
  readonly units: number;
  readonly epoch: number;
  /** Whether the limit was nearly reached at the start; only such work is evidence for a higher limit. */
  readonly nearLimit: boolean;
}

/** Time without progress after which an idle endpoint is assumed to be cold. */
export const coldAfterIdleMs = 3_000;

/** Time after the endpoint turned cold in which reports may still show its earlier state. */
export const reportLagMs = 2_000;

/** Successes that an endpoint without reports needs before its limit grows, in cold limits. */
const unreportedWarmUpRounds = 16;

/** Share of the limit that must be in use for a success to count towards growth. */
const nearLimitShare = 0.5;

/** Growth of the limit in one step, as a share of the limit. */
const growthShare = 0.25;

/**
 * Limits the concurrent work at one endpoint. The limit starts at the cold limit and grows in steps
 * while work succeeds and reports allow it; reports alone never raise it. Work started since the last
 * progress stays within the cold limit, so that an undetected restart meets no more than that.
 */
export class AdmissionLimit {
  private inFlightUnits = 0;

  /** Units started since the last progress of work of the current epoch. */
  private unconfirmedUnits = 0;

  private succeededUnits = 0;

  /** Successes still needed before an endpoint without reports counts as warm. */
  private warmUpUnits: number;

  private grownLimit: number;

  private reportedCapacity: number | undefined;

  private hasReports = false;

  private epochNumber = 0;

  private lastProgressAt = -Infinity;

  private turnedColdAt = -Infinity;

  constructor(private bounds: AdmissionBounds) {
    this.grownLimit = bounds.coldLimit;
    this.warmUpUnits = bounds.coldLimit * unreportedWarmUpRounds;
  }

  get limit(): number {
    const { maxLimit } = this.bounds;
    return Math.max(1, Math.min(this.grownLimit, maxLimit, this.reportedCapacity ?? maxLimit));
  }

  get inFlight(): number {
    return this.inFlightUnits;
  }

  get epoch(): number {
    return this.epochNumber;
  }

  /** Replaces the bounds; a limit that has not grown follows the cold limit. */
  setBounds(bounds: AdmissionBounds): void {
    const isCold = this.grownLimit <= this.bounds.coldLimit;
    this.bounds = bounds;
    this.grownLimit = isCold ? bounds.coldLimit : Math.min(this.grownLimit, bounds.maxLimit);
    this.warmUpUnits = Math.min(this.warmUpUnits, bounds.coldLimit * unreportedWarmUpRounds);
  }

  /** Whether `units` may start now. Work larger than the limit runs alone. */
  fits(units: number, now: number): boolean {
    if (this.inFlightUnits === 0) return true;
    if (this.inFlightUnits + units > this.currentLimit(now)) return false;
    return this.unconfirmedUnits === 0 || this.unconfirmedUnits + units <= this.bounds.coldLimit;
  }

  start(units: number, now: number): AdmittedWork {
    const limit = this.currentLimit(now);
    this.inFlightUnits += units;
    this.unconfirmedUnits += units;
    const nearLimit = this.inFlightUnits >= limit * nearLimitShare;
    return { units, epoch: this.epochNumber, nearLimit };
  }

  /** Records progress of work that started in `epoch`; ignored for an earlier epoch. */
  recordProgress(epoch: number, now: number): void {
    if (epoch !== this.epochNumber) return;
    this.unconfirmedUnits = 0;
    this.lastProgressAt = now;
  }

  /** Ends work. Successes that add up to the limit raise it by one step. */
  finish(work: AdmittedWork, succeeded: boolean, now: number): void {
    this.inFlightUnits -= work.units;
    if (!succeeded || work.epoch !== this.epochNumber) return;
    this.recordProgress(work.epoch, now);
    this.warmUpUnits = Math.max(0, this.warmUpUnits - work.units);
    if (!work.nearLimit) return;
    this.succeededUnits += work.units;
    if (this.succeededUnits >= this.grownLimit) this.grow();
  }

  /** Returns to the cold limit after a sign of a restart or of lost caches. */
  turnCold(now: number): void {
    this.reset();
    this.turnedColdAt = now;
    this.reportedCapacity = Math.min(this.reportedCapacity ?? Infinity, this.bounds.coldLimit);
    if (!this.hasReports) this.reportedCapacity = undefined;
  }

  /** Applies a report, which may be outdated: shortly after turning cold it can only lower the limit. */
  applyReport(capacity: number, now: number): void {
    this.hasReports = true;
    const mayBeOutdated = now - this.turnedColdAt < reportLagMs;
    this.reportedCapacity = mayBeOutdated
      ? Math.min(this.reportedCapacity ?? Infinity, capacity)
      : capacity;
  }

  private currentLimit(now: number): number {
    const isIdle = this.inFlightUnits === 0 && now - this.lastProgressAt > coldAfterIdleMs;
    if (isIdle && this.grownLimit > this.bounds.coldLimit) this.reset();
    return this.limit;
  }

  private reset(): void {
    this.epochNumber += 1;
    this.unconfirmedUnits = 0;
    this.succeededUnits = 0;
    this.grownLimit = this.bounds.coldLimit;
    this.warmUpUnits = this.bounds.coldLimit * unreportedWarmUpRounds;
  }

  private grow(): void {
    this.succeededUnits = 0;
    if (!this.hasReports && this.warmUpUnits > 0) return;
    const step = Math.max(1, Math.floor(this.grownLimit * growthShare));
    const ceiling = Math.min(this.bounds.maxLimit, this.reportedCapacity ?? Infinity);
    if (this.grownLimit < ceiling) this.grownLimit = Math.min(this.grownLimit + step, ceiling);
  }
}
