/** Response of an endpoint that a request was not meant for it, or that it holds no weights. */
interface Misdirection {
  readonly at: number;
  /** Time from which the endpoint may be tried again without other news of it. */
  readonly until: number;
  /** Number of earlier ones in a row. */
  readonly times: number;
  readonly isReleased: boolean;
}

/**
 * Exclusion of an endpoint of which nothing else is heard, doubled by each further misdirection, in milliseconds.
 * The agent of an engine reports within a second, so a request is a last resort to find out about an engine.
 */
const exclusionMs = {
  plain: { initial: 250, max: 4_000 },
  engine: { initial: 4_000, max: 16_000 },
} as const;
/** Time after an exclusion in which another misdirection counts as a further one, in milliseconds. */
const memoryMs = 5_000;
/**
 * Time in which engines of a service without a recent sign of life get no request after a misdirection by one of them,
 * in milliseconds: all may have lost their weights together. After it they are probed by one request at a time, which
 * bounds the number of failed attempts.
 */
const doubtMs = 500;
/** Age up to which a sign of life shows that an endpoint is the one that is registered, in milliseconds. */
const proofMs = 1_500;

/** Time for which the other engines of a service are suspected after a misdirection by one of them. */
interface Doubt {
  readonly at: number;
  readonly until: number;
}

/** Whether a sign of life is recent enough to show that an endpoint is the one that is registered. */
export function isProof(signOfLifeAt: number, now: number): boolean {
  return now - signOfLifeAt <= proofMs;
}

/** What responses with status 421 have shown of the registrations of endpoints. */
export class Misdirections {
  /** By incarnation. */
  private readonly records = new Map<string, Misdirection>();

  /** By service. */
  private readonly doubts = new Map<string, Doubt>();

  /** Number of endpoints whose last misdirection is remembered. */
  get size(): number {
    return this.records.size;
  }

  /** Records a misdirection; returns whether the endpoint was not excluded before. */
  record(incarnation: string, service: string, isEngine: boolean, now: number): boolean {
    const known = this.records.get(incarnation);
    const isNew = known === undefined || known.isReleased || now >= known.until;
    const isRepeated = isNew && known !== undefined && now < known.until + memoryMs;
    const times = isRepeated ? known.times + 1 : (known?.times ?? 0);
    const { initial, max } = isEngine ? exclusionMs.engine : exclusionMs.plain;
    const until = isNew ? now + Math.min(max, initial * 2 ** times) : known.until;
    this.records.set(incarnation, { at: now, until, times, isReleased: false });
    if (isEngine) this.doubts.set(service, { at: now, until: now + doubtMs });
    return isNew;
  }

  /** Whether an endpoint is excluded by its last response. */
  isExcluded(incarnation: string, now: number): boolean {
    const record = this.records.get(incarnation);
    return record !== undefined && !record.isReleased && now < record.until;
  }

  /** Records that a request probes an engine without a recent sign of life: others wait for its result. */
  recordProbe(service: string, now: number): void {
    const doubt = this.doubts.get(service);
    if (!doubt) return;
    if (now < doubt.until + memoryMs) this.doubts.set(service, { ...doubt, until: now + doubtMs });
    else this.doubts.delete(service);
  }

  /** Whether an engine without a recent sign of life gets no request, as another of its service misdirected one since. */
  isDoubted(service: string, registeredAt: number, now: number): boolean {
    const doubt = this.doubts.get(service);
    return doubt !== undefined && now < doubt.until && registeredAt <= doubt.at;
  }

  /** Returns the time of the last misdirection of an endpoint that is not released; undefined if there is none. */
  misdirectedAt(incarnation: string): number | undefined {
    const record = this.records.get(incarnation);
    return record && !record.isReleased ? record.at : undefined;
  }

  /** Forgets an endpoint that has gone. */
  forget(incarnation: string): void {
    this.records.delete(incarnation);
  }

  /** Ends the exclusion of an endpoint, of which there is newer news. */
  release(incarnation: string): void {
    const record = this.records.get(incarnation);
    if (record) this.records.set(incarnation, { ...record, isReleased: true });
  }

  /** Returns the endpoints whose exclusion is over and not ended; forgets those that were so long ago. */
  takeDue(now: number): string[] {
    const due: string[] = [];
    this.records.forEach(({ until, isReleased }, incarnation) => {
      if (now >= until && !isReleased) due.push(incarnation);
      else if (now >= until + memoryMs) this.records.delete(incarnation);
    });
    return due;
  }
}
