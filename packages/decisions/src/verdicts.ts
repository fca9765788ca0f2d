/** What is known of a request that was running when an endpoint died. */
export const VerdictState = {
  /** May have caused the death: runs alone until that is known. */
  suspect: 'suspect',
  /** Caused a death while it ran alone: refused. */
  convicted: 'convicted',
  /** Ran alone and ended well. */
  cleared: 'cleared',
  /** An operator lets it run again. */
  lifted: 'lifted',
} as const;

/** One of the values of {@link VerdictState}. */
export type VerdictState = (typeof VerdictState)[keyof typeof VerdictState];

/** How an endpoint was lost. */
export const EndpointLoss = {
  /** The endpoint died beside a living agent. */
  endpoint: 'endpoint',
  /** The agent is gone too: the instance may have failed for another reason. */
  instance: 'instance',
} as const;

/** One of the values of {@link EndpointLoss}. */
export type EndpointLoss = (typeof EndpointLoss)[keyof typeof EndpointLoss];

/** What names the requests that a verdict covers. */
export interface SuspectRequest {
  readonly fingerprint: string;
  readonly workspace: string;
  readonly service: string;
}

/** A verdict on all requests with one fingerprint. */
export interface Verdict extends SuspectRequest {
  /** Grows with each change; the higher one wins. */
  readonly version: number;
  readonly state: VerdictState;
  /** Evidence from runs alone; see `evidenceOf`. */
  readonly deaths: number;
  /** Why an operator lifted it. */
  readonly reason: string;
  /** Monotonic time of this process at which the verdict ends, in milliseconds. */
  readonly endsAt: number;
}

/** A verdict as sent to another process, which has another clock. */
export type SharedVerdict = Omit<Verdict, 'endsAt' | 'state'> & {
  readonly state: string;
  readonly remainingMs: number;
};

const mostVerdicts = 5_000;
const evidenceNeeded = 2;

/** The loss of a whole instance convicts only when it happens twice. */
const evidenceOf: Readonly<Record<EndpointLoss, number>> = { endpoint: 2, instance: 1 };

/** Of two verdicts with the same version the one further on in this order wins. */
const severity: readonly string[] = [
  VerdictState.cleared,
  VerdictState.suspect,
  VerdictState.lifted,
  VerdictState.convicted,
];

function wins(a: { version: number; state: string }, b: { version: number; state: string }) {
  if (a.version !== b.version) return a.version > b.version;
  return severity.indexOf(a.state) > severity.indexOf(b.state);
}

/**
 * Finds requests that crash endpoints. A death makes all that ran there suspects; a suspect runs
 * alone, and a death then convicts it, so that requests that only ran beside it stay innocent.
 */
export class VerdictStore {
  private readonly verdicts = new Map<string, Verdict>();

  constructor(private readonly keepMs: number) {}

  getState(fingerprint: string, now: number): VerdictState | undefined {
    return this.present(fingerprint, now)?.state;
  }

  /** An endpoint was lost under a request; returns the verdict when it changed. */
  recordLoss(
    suspect: SuspectRequest,
    loss: EndpointLoss,
    alone: boolean,
    now: number,
  ): Verdict | undefined {
    const present = this.present(suspect.fingerprint, now);
    if (present?.state === VerdictState.convicted) return undefined;
    if (present?.state !== VerdictState.suspect) {
      return this.change(suspect, VerdictState.suspect, 0, now);
    }
    if (!alone) return undefined;
    const deaths = present.deaths + evidenceOf[loss];
    const guilty = deaths >= evidenceNeeded;
    const state = guilty ? VerdictState.convicted : VerdictState.suspect;
    return this.change(suspect, state, deaths, now);
  }

  /** A suspect ended well while it ran alone; returns the verdict when it changed. */
  recordSurvival(suspect: SuspectRequest, now: number): Verdict | undefined {
    if (this.getState(suspect.fingerprint, now) !== VerdictState.suspect) return undefined;
    return this.change(suspect, VerdictState.cleared, 0, now);
  }

  /** Lets a convicted request run again; undefined when there is no such conviction. */
  lift(fingerprint: string, reason: string, now: number): Verdict | undefined {
    const present = this.present(fingerprint, now);
    if (present?.state !== VerdictState.convicted) return undefined;
    return this.change(present, VerdictState.lifted, 0, now, reason);
  }

  /** Takes verdicts of another process; returns those that were news. */
  merge(shared: readonly SharedVerdict[], now: number): Verdict[] {
    return shared.flatMap((verdict) => {
      const { fingerprint, workspace, service, version, deaths, reason, remainingMs } = verdict;
      const state = Object.values(VerdictState).find((value) => value === verdict.state);
      const present = this.present(fingerprint, now);
      if (!state || remainingMs <= 0 || (present && !wins(verdict, present))) return [];
      const endsAt = now + Math.min(remainingMs, this.keepMs);
      const suspect = { fingerprint, workspace, service };
      return [this.keep({ ...suspect, version, state, deaths, reason, endsAt })];
    });
  }

  /** The verdicts in force, for another process. */
  snapshot(now: number): SharedVerdict[] {
    return [...this.verdicts.values()]
      .filter(({ endsAt }) => endsAt > now)
      .map(({ endsAt, ...rest }) => ({ ...rest, remainingMs: Math.ceil(endsAt - now) }));
  }

  private present(fingerprint: string, now: number): Verdict | undefined {
    const verdict = this.verdicts.get(fingerprint);
    return verdict && verdict.endsAt > now ? verdict : undefined;
  }

  private change(
    { fingerprint, workspace, service }: SuspectRequest,
    state: VerdictState,
    deaths: number,
    now: number,
    reason = '',
  ): Verdict {
    const version = (this.verdicts.get(fingerprint)?.version ?? 0) + 1;
    const endsAt = now + this.keepMs;
    return this.keep({ fingerprint, workspace, service, version, state, deaths, reason, endsAt });
  }

  private keep(verdict: Verdict): Verdict {
    // Written last means dropped last, so that the oldest one goes when there are too many.
    this.verdicts.delete(verdict.fingerprint);
    this.verdicts.set(verdict.fingerprint, verdict);
    if (this.verdicts.size > mostVerdicts) {
      const [oldest] = this.verdicts.keys();
      if (oldest) this.verdicts.delete(oldest);
    }
    return verdict;
  }
}
