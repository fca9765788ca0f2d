import { LinkLost, Overloaded, Unavailable, toFailure } from '@laburnumstream/common';
import type { Failure, Log, Metrics } from '@laburnumstream/common';
import {
  Recovery,
  RetryBudget,
  pickHome,
  isDataCentreInService,
  policyFor,
} from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import type { EntrySettings } from '@laburnumstream/runtime';
import type { AttemptRunner } from './attemptRunner.js';
import { usesIdempotencyKey, getWorkUnits } from './callerRequest.js';
import type { ResponsePart, CallerRequest } from './callerRequest.js';
import { DispatchState } from './dispatchState.js';
import type { CrashGuard } from './crashGuard.js';
import type { MemberDirectory } from './memberDirectory.js';
import type { Router } from './router.js';

const retryAfterMs = 500;

/** The agent to which a request is dispatched. */
interface DispatchTarget {
  readonly name: string;
  readonly address: string;
}

/**
 * Rendezvous key of a request that must go to one particular agent, whichever entry dispatches it;
 * undefined when any agent will do.
 */
function getRendezvousKey({ request, alone }: DispatchState): string | undefined {
  const { workspace, service, idempotencyKey } = request;
  // All entries send suspected requests to the same agent, which runs them one at a time.
  if (alone) return `alone\n${service}`;
  return usesIdempotencyKey(request) ? `${workspace}\n${service}\n${idempotencyKey}` : undefined;
}

/** Dispatches requests to agents; retries or resumes those whose attempt failed. */
export class RequestDispatcher {
  private readonly retryBudget = new RetryBudget();

  constructor(
    private readonly settings: EntrySettings,
    private readonly configuration: () => Configuration,
    private readonly directory: MemberDirectory,
    private readonly attemptRunner: AttemptRunner,
    private readonly crashGuard: CrashGuard,
    private readonly router: Router,
    private readonly wallNow: () => number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Yields the parts of the response in order, across all attempts; throws a `Failure`. */
  async *dispatch(request: CallerRequest, signal: AbortSignal): AsyncGenerator<ResponsePart> {
    const deadline = this.wallNow() + this.settings.options.requestTimeoutMs;
    const state = new DispatchState(request, deadline, signal);
    const { workspace, service } = request;
    const { dataCentre } = this.settings;
    const scope = { workspace, service, dataCentre };
    const { maxAttempts } = policyFor(this.configuration(), scope, this.wallNow());
    let failure: Failure = new Unavailable('No endpoint can take the request.', retryAfterMs);
    this.retryBudget.recordRequest(workspace);
    while (state.dispatches < maxAttempts && this.mayDispatch(state)) {
      this.checkVerdict(state);
      const target = this.selectTarget(state);
      if (!target) break;
      state.recordDispatch(target.name);
      let recovery: Recovery = Recovery.reconnect;
      while (recovery === Recovery.reconnect) {
        try {
          yield* this.runAttempt(state, target);
          if (state.alone) await this.crashGuard.recordSurvival(request);
          return;
        } catch (error) {
          failure = toFailure(error);
          recovery = this.handleFailure(state, target, failure);
          if (state.loss) await this.crashGuard.recordLoss(request, state.loss, state.alone);
        }
      }
      // Suspected requests run one at a time at a single agent: no failover when it is overloaded.
      const mustNotFailOver = state.alone && failure.type === Overloaded.type;
      if (recovery === Recovery.giveUp || mustNotFailOver) break;
    }
    throw state.toCallerFailure(failure);
  }

  /** Whether the retry budget allows another dispatch; the first one is always allowed. */
  private mayDispatch({ dispatches, request }: DispatchState): boolean {
    if (dispatches === 0 || this.retryBudget.tryAcquire(request.workspace)) return true;
    this.metrics.count('retries_over_budget');
    return false;
  }

  /** Records whether the request must run alone; throws when it is known to crash endpoints. */
  private checkVerdict(state: DispatchState): void {
    try {
      state.setAlone(this.crashGuard.mustRunAlone(state.request));
    } catch (error) {
      throw state.toCallerFailure(toFailure(error));
    }
  }

  private selectTarget(state: DispatchState): DispatchTarget | undefined {
    const { request, tried, partial } = state;
    const key = getRendezvousKey(state);
    const name = key
      ? this.selectByRendezvous(key, state)
      : this.router.choose(request, tried, partial.weights);
    const address = name && this.directory.getAddress(name);
    return address ? { name, address } : undefined;
  }

  private selectByRendezvous(
    key: string,
    { request, tried, partial }: DispatchState,
  ): string | undefined {
    const isOpen = (dataCentre: string): boolean =>
      isDataCentreInService(this.configuration(), dataCentre);
    const { weights } = partial;
    const candidates = this.directory
      .candidates(request.service, isOpen)
      .filter(({ name }) => !tried.has(name))
      .filter(({ name }) => !weights || this.directory.serves(name, weights));
    return pickHome(key, candidates, this.settings)?.name;
  }

  private async *runAttempt(
    state: DispatchState,
    target: DispatchTarget,
  ): AsyncGenerator<ResponsePart> {
    const { request, partial, signal, deadline } = state;
    const attempt = {
      number: state.nextAttemptNumber(),
      address: target.address,
      attachOnly: state.mayOnlyAttach,
      alone: state.alone,
      timeoutMs: Math.max(1, deadline - this.wallNow()),
    };
    const units = getWorkUnits(request);
    this.router.recordStart(target.name, units);
    try {
      for await (const part of this.attemptRunner.run(request, attempt, partial, signal)) {
        state.recordProgress();
        yield part;
      }
    } finally {
      this.router.recordEnd(target.name, units);
    }
  }

  private handleFailure(state: DispatchState, target: DispatchTarget, failure: Failure): Recovery {
    const { id } = state.request;
    this.log.debug('Attempt failed.', { id, attempt: state.attempts, type: failure.type });
    const recovery = state.handleFailure(failure);
    const abandonsAgent = recovery !== Recovery.reconnect;
    if (abandonsAgent && failure instanceof LinkLost) this.router.markUnreachable(target.name);
    if (recovery !== Recovery.giveUp) this.metrics.count(`requests_recovered_${recovery}`);
    return recovery;
  }
}
