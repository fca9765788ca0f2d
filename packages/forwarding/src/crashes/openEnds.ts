/** A response that the end of its connection has ended: the endpoint may have ended instead. */
interface OpenEnd {
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  readonly traits: ReadonlySet<string>;
}

/** Time within which an endpoint that ended a response by its own end is known to be lost, in milliseconds. */
const doubtMs = 1_000;

/** Keeps responses without another framing than their connection until it is known how they ended. */
export class OpenEnds {
  private ends: OpenEnd[] = [];

  get size(): number {
    return this.ends.length;
  }

  add(end: OpenEnd): void {
    this.ends.push(end);
  }

  /** Takes the traits of the responses of an endpoint that is now known to be lost. */
  takeTraits(endpoint: string): string[] {
    const taken = this.ends.filter((end) => end.endpoint === endpoint);
    this.ends = this.ends.filter((end) => end.endpoint !== endpoint);
    return taken.flatMap(({ traits }) => [...traits]);
  }

  /** Takes the responses whose endpoints have not been lost in time. */
  takeWhole(now: number): OpenEnd[] {
    const whole = this.ends.filter(({ at }) => now - at >= doubtMs);
    this.ends = this.ends.filter(({ at }) => now - at < doubtMs);
    return whole;
  }
}
