import { Execution, OutcomeUnknown, toFailure } from '@laburnumstream/common';
import type { Clock, Failure, Random } from '@laburnumstream/common';
import { PlannedStop, stopRetryDelayMs } from '@laburnumstream/decisions';
import { Refusal, RefusalReason } from './refusal.js';

/** Refuses requests that are not sure to end before a planned stop of this process does. */
export class StopGate {
  private plan: PlannedStop | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the stop has started. */
  get isStopping(): boolean {
    return this.plan !== undefined;
  }

  /** Starts the stop of a process that exits at the latest after `shutdownMs`; returns its times. */
  start(shutdownMs: number): PlannedStop {
    this.plan = new PlannedStop(this.clock.now(), shutdownMs);
    return this.plan;
  }

  /** Returns the refusal of a request that has to end by `deadlineAt`; undefined if it may be passed on. */
  findRefusal(deadlineAt: number): Refusal | undefined {
    if (!this.plan || this.plan.mayPassOn(deadlineAt)) return undefined;
    return this.createRefusal();
  }

  /** Creates the refusal of a request that was not executed. */
  createRefusal(): Refusal {
    const message = 'This entry stops before the deadline of the request.';
    return new Refusal(RefusalReason.stopping, message, stopRetryDelayMs(this.random.next()));
  }
}

/** Maps the error of a request that the end of the stop has aborted to the failure that its caller gets. */
export function toStopFailure(error: unknown, gate: StopGate): Failure {
  const { execution } = toFailure(error);
  if (execution === Execution.notRun) return gate.createRefusal();
  return new OutcomeUnknown('This entry stopped before the endpoint had answered.', error);
}
