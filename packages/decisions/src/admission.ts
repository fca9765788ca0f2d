/** Bounds of an endpoint's admission, in work units. */
export interface AdmissionBounds {
  /** Work that the endpoint bears just after a cold start. */
  readonly coldLimit: number;
  readonly maxLimit: number;
}

/** Admitted work; its epoch tells whether the endpoint has turned cold since it started. */
export interface AdmittedWork {
  readonly units: number;
  readonly epoch: number;
  /** Whether the limit was in use when the work started; only such work shows that more is borne. */
  readonly nearLimit: boolean;
}

/** Time without any sign of life from work after which warmth is no longer assumed. */
export const coldAfterIdleMs = 3_000;

/** Time after a cold sign in which reports may still show the state before it. */
export const reportLagMs = 2_000;

/** Cold limits' worth of successes that an endpoint without reports needs before its limit grows. */
const unreportedWarmUpRounds = 16;

/** Share of the limit that must be in use for a success to count towards growth. */
const pressedShare = 0.5;

/** Growth of the limit in one step, as a share of the limit. */
const growthShare = 0.25;

/**
 * Limits the work at one endpoint. It starts at the cold limit and grows in steps while work
 * succeeds and reports allow it. Reports alone never raise it. Work started since the last sign of
 * life stays within the cold limit, so that an unnoticed restart meets no more than that.
 */
export class AdmissionLimit {
  private inFlightUnits = 0;

  /** Units started since the last sign of life from the present epoch's work. */
  private unprovenUnits = 0;

  private succeededUnits = 0;

  /** Successes still needed before an endpoint that sends no reports counts as warm. */
  private warmUpUnits: number;

  private grownLimit: number;

  private reportedCapacity: number | undefined;

  private hasReports = false;

  private epochNumber = 0;

  private provenAt = -Infinity;

  private coldAt = -Infinity;

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

  /** Replaces the bounds; a limit that had not grown follows the cold limit. */
  setBounds(bounds: AdmissionBounds): void {
    const isCold = this.grownLimit <= this.bounds.coldLimit;
    this.bounds = bounds;
    this.grownLimit = isCold ? bounds.coldLimit : Math.min(this.grownLimit, bounds.maxLimit);
    this.warmUpUnits = Math.min(this.warmUpUnits, bounds.coldLimit * unreportedWarmUpRounds);
  }

  /** Whether `units` may start now. Work above the limit runs alone. */
  fits(units: number, now: number): boolean {
    if (this.inFlightUnits === 0) return true;
    if (this.inFlightUnits + units > this.currentLimit(now)) return false;
    return this.unprovenUnits === 0 || this.unprovenUnits + units <= this.bounds.coldLimit;
  }

  start(units: number, now: number): AdmittedWork {
    const limit = this.currentLimit(now);
    this.inFlightUnits += units;
    this.unprovenUnits += units;
    const pressed = this.inFlightUnits >= limit * pressedShare;
    return { units, epoch: this.epochNumber, nearLimit: pressed };
  }

  /** Work of the present epoch gave a sign of life. */
  recordProgress(epoch: number, now: number): void {
    if (epoch !== this.epochNumber) return;
    this.unprovenUnits = 0;
    this.provenAt = now;
  }

  /** Ends work. A limit's worth of successes raises the limit by one step. */
  finish(work: AdmittedWork, succeeded: boolean, now: number): void {
    this.inFlightUnits -= work.units;
    if (!succeeded || work.epoch !== this.epochNumber) return;
    this.recordProgress(work.epoch, now);
    this.warmUpUnits = Math.max(0, this.warmUpUnits - work.units);
    if (!work.nearLimit) return;
    this.succeededUnits += work.units;
    if (this.succeededUnits >= this.grownLimit) this.grow();
  }

  /** The endpoint shows a sign of a restart or of lost caches: back to the cold limit. */
  turnCold(now: number): void {
    this.reset();
    this.coldAt = now;
    this.reportedCapacity = Math.min(this.reportedCapacity ?? Infinity, this.bounds.coldLimit);
    if (!this.hasReports) this.reportedCapacity = undefined;
  }

  /** Takes a lagging report; just after a cold sign it may only lower the limit. */
  applyReport(capacity: number, now: number): void {
    this.hasReports = true;
    const isOld = now - this.coldAt < reportLagMs;
    this.reportedCapacity = isOld
      ? Math.min(this.reportedCapacity ?? Infinity, capacity)
      : capacity;
  }

  private currentLimit(now: number): number {
    const isIdle = this.inFlightUnits === 0 && now - this.provenAt > coldAfterIdleMs;
    if (isIdle && this.grownLimit > this.bounds.coldLimit) this.reset();
    return this.limit;
  }

  private reset(): void {
    this.epochNumber += 1;
    this.unprovenUnits = 0;
    this.succeededUnits = 0;
    this.grownLimit = this.bounds.coldLimit;
    this.warmUpUnits = this.bounds.coldLimit * unreportedWarmUpRounds;
  }

  private grow(): void {
    this.succeededUnits = 0;
    if (!this.hasReports && this.warmUpUnits > 0) return;
    const step = Math.max(1, Math.floor(this.grownLimit * growthShare));
    const most = Math.min(this.bounds.maxLimit, this.reportedCapacity ?? Infinity);
    if (this.grownLimit < most) this.grownLimit = Math.min(this.grownLimit + step, most);
  }
}
