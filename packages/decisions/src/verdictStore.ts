/** State of a request that was running when an endpoint died. */
export const VerdictState = {
  /** May have caused the death; runs alone until that is known. */
  suspect: 'suspect',
  /** Caused a death while it ran alone; refused. */
  convicted: 'convicted',
  /** Ran alone and completed. */
  cleared: 'cleared',
  /** An operator permits it to run again. */
  lifted: 'lifted',
} as const;

/** One of the values of {@link VerdictState}. */
export type VerdictState = (typeof VerdictState)[keyof typeof VerdictState];

/** How an endpoint was lost. */
export const EndpointLoss = {
  /** The endpoint died while its agent kept running. */
  endpoint: 'endpoint',
  /** The agent is lost too, so the instance may have failed for another reason. */
  instance: 'instance',
} as const;

/** One of the values of {@link EndpointLoss}. */
export type EndpointLoss = (typeof EndpointLoss)[keyof typeof EndpointLoss];

/** Identifies the requests that a verdict covers. */
export interface SuspectRequest {
  readonly fingerprint: string;
  readonly workspace: string;
  readonly service: string;
}

/** A verdict on all requests with one fingerprint. */
export interface Verdict extends SuspectRequest {
  /** Increases with each change; the higher one wins. */
  readonly version: number;
  readonly state: VerdictState;
  /** Evidence from losses while it ran alone; see `lossEvidence`. */
  readonly deaths: number;
  /** Why an operator lifted it. */
  readonly reason: string;
  /** Monotonic time of this process at which the verdict expires, in milliseconds. */
  readonly endsAt: number;
}

/** A verdict as sent to another process, whose clock differs. */
export type SharedVerdict = Omit<Verdict, 'endsAt' | 'state'> & {
  readonly state: string;
  readonly remainingMs: number;
};

const maxVerdicts = 5_000;
const convictionEvidence = 2;

/** Evidence by kind of loss: the loss of a whole instance convicts only when it happens twice. */
const lossEvidence: Readonly<Record<EndpointLoss, number>> = { endpoint: 2, instance: 1 };

/** Precedence of states, ascending; decides between two verdicts with the same version. */
const precedence: readonly string[] = [
  VerdictState.cleared,
  VerdictState.suspect,
  VerdictState.lifted,
  VerdictState.convicted,
];

function wins(a: { version: number; state: string }, b: { version: number; state: string }) {
  if (a.version !== b.version) return a.version > b.version;
  return precedence.indexOf(a.state) > precedence.indexOf(b.state);
}

/**
 * Finds requests that crash endpoints. All requests that were running when an endpoint died become
 * suspects. A suspect runs alone, and another death then convicts it, so that requests that merely ran
 * beside it aren't convicted.
 */
export class VerdictStore {
  private readonly verdicts = new Map<string, Verdict>();

  constructor(private readonly keepMs: number) {}

  getState(fingerprint: string, now: number): VerdictState | undefined {
    return this.getActive(fingerprint, now)?.state;
  }

  /** Records that an endpoint was lost while it ran a request; returns the verdict when it changed. */
  recordLoss(
    suspect: SuspectRequest,
    loss: EndpointLoss,
    alone: boolean,
    now: number,
  ): Verdict | undefined {
    const active = this.getActive(suspect.fingerprint, now);
    if (active?.state === VerdictState.convicted) return undefined;
    if (active?.state !== VerdictState.suspect) {
      return this.update(suspect, VerdictState.suspect, 0, now);
    }
    if (!alone) return undefined;
    const deaths = active.deaths + lossEvidence[loss];
    const isConvicted = deaths >= convictionEvidence;
    const state = isConvicted ? VerdictState.convicted : VerdictState.suspect;
    return this.update(suspect, state, deaths, now);
  }

  /** Records that a suspect completed while it ran alone; returns the verdict when it changed. */
  recordSurvival(suspect: SuspectRequest, now: number): Verdict | undefined {
    if (this.getState(suspect.fingerprint, now) !== VerdictState.suspect) return undefined;
    return this.update(suspect, VerdictState.cleared, 0, now);
  }

  /** Permits a convicted request to run again; undefined when there is no such conviction. */
  lift(fingerprint: string, reason: string, now: number): Verdict | undefined {
    const active = this.getActive(fingerprint, now);
    if (active?.state !== VerdictState.convicted) return undefined;
    return this.update(active, VerdictState.lifted, 0, now, reason);
  }

  /** Merges verdicts of another process; returns those that were adopted. */
  merge(shared: readonly SharedVerdict[], now: number): Verdict[] {
    return shared.flatMap((verdict) => {
      const { fingerprint, workspace, service, version, deaths, reason, remainingMs } = verdict;
      const state = Object.values(VerdictState).find((value) => value === verdict.state);
      const active = this.getActive(fingerprint, now);
      if (!state || remainingMs <= 0 || (active && !wins(verdict, active))) return [];
      const endsAt = now + Math.min(remainingMs, this.keepMs);
      const suspect = { fingerprint, workspace, service };
      return [this.set({ ...suspect, version, state, deaths, reason, endsAt })];
    });
  }

  /** The active verdicts, to be sent to another process. */
  snapshot(now: number): SharedVerdict[] {
    return [...this.verdicts.values()]
      .filter(({ endsAt }) => endsAt > now)
      .map(({ endsAt, ...rest }) => ({ ...rest, remainingMs: Math.ceil(endsAt - now) }));
  }

  private getActive(fingerprint: string, now: number): Verdict | undefined {
    const verdict = this.verdicts.get(fingerprint);
    return verdict && verdict.endsAt > now ? verdict : undefined;
  }

  private update(
    { fingerprint, workspace, service }: SuspectRequest,
    state: VerdictState,
    deaths: number,
    now: number,
    reason = '',
  ): Verdict {
    const version = (this.verdicts.get(fingerprint)?.version ?? 0) + 1;
    const endsAt = now + this.keepMs;
    return this.set({ fingerprint, workspace, service, version, state, deaths, reason, endsAt });
  }

  private set(verdict: Verdict): Verdict {
    // Reinsertion at the end of the map keeps it ordered by last change; the oldest is evicted.
    this.verdicts.delete(verdict.fingerprint);
    this.verdicts.set(verdict.fingerprint, verdict);
    if (this.verdicts.size > maxVerdicts) {
      const [oldest] = this.verdicts.keys();
      if (oldest) this.verdicts.delete(oldest);
    }
    return verdict;
  }
}
