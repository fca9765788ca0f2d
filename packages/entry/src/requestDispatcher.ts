import { LinkLost, Overloaded, Unavailable, toFailure } from '@laburnumstream/common';
import type { Failure, Log, Metrics } from '@laburnumstream/common';
import { Recovery, RetryBudget, pickHome, isIn, policyFor } from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import type { EntrySettings } from '@laburnumstream/runtime';
import type { AttemptReader } from './attempt.js';
import { isKeyed, unitsOf } from './callerRequest.js';
import type { AnswerPart, CallerRequest } from './callerRequest.js';
import { Course } from './course.js';
import type { CrashGuard } from './crashGuard.js';
import type { Directory } from './directory.js';
import type { Router } from './router.js';

const retryAfterMs = 500;

/** The endpoint of an attempt. */
interface Target {
  readonly name: string;
  readonly address: string;
}

/** What names the one agent at which requests have to meet, if any. */
function homeKeyOf({ request, alone }: Course): string | undefined {
  const { workspace, service, idempotencyKey } = request;
  // Suspects of all entries meet at one agent, which runs them one after the other.
  if (alone) return `alone\n${service}`;
  return isKeyed(request) ? `${workspace}\n${service}\n${idempotencyKey}` : undefined;
}

/** Routes requests to agents, and repeats or resumes those that were cut. */
export class RequestDispatcher {
  private readonly retries = new RetryBudget();

  constructor(
    private readonly settings: EntrySettings,
    private readonly configuration: () => Configuration,
    private readonly directory: Directory,
    private readonly reader: AttemptReader,
    private readonly guard: CrashGuard,
    private readonly router: Router,
    private readonly wall: () => number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** The parts of a request's whole answer; throws a typed failure. */
  async *dispatch(request: CallerRequest, signal: AbortSignal): AsyncGenerator<AnswerPart> {
    const deadline = this.wall() + this.settings.options.requestTimeoutMs;
    const course = new Course(request, deadline, signal);
    const { workspace, service } = request;
    const { dataCentre } = this.settings;
    const place = { workspace, service, dataCentre };
    const { maxAttempts } = policyFor(this.configuration(), place, this.wall());
    let failure: Failure = new Unavailable('No endpoint can take the request.', retryAfterMs);
    this.retries.recordRequest(workspace);
    while (course.dispatches < maxAttempts && this.mayDispatch(course)) {
      this.judge(course);
      const target = this.choose(course);
      if (!target) break;
      course.dispatchTo(target.name);
      let recovery: Recovery = Recovery.reconnect;
      while (recovery === Recovery.reconnect) {
        try {
          yield* this.attempt(course, target);
          if (course.alone) await this.guard.survived(request);
          return;
        } catch (error) {
          failure = toFailure(error);
          recovery = this.recover(course, target, failure);
          if (course.loss) await this.guard.lost(request, course.loss, course.alone);
        }
      }
      // Suspects run one after the other: a busy place for them is no reason to use a second one.
      const mustWait = course.alone && failure.type === Overloaded.type;
      if (recovery === Recovery.giveUp || mustWait) break;
    }
    throw course.final(failure);
  }

  /** Whether the budget of retries allows another dispatch; the first one needs none. */
  private mayDispatch({ dispatches, request }: Course): boolean {
    if (dispatches === 0 || this.retries.tryAcquire(request.workspace)) return true;
    this.metrics.count('retries_over_budget');
    return false;
  }

  /** Notes whether the request must run alone; throws when it must not run at all. */
  private judge(course: Course): void {
    try {
      course.judge(this.guard.mustRunAlone(course.request));
    } catch (error) {
      throw course.final(toFailure(error));
    }
  }

  private choose(course: Course): Target | undefined {
    const { request, tried, partial } = course;
    const home = homeKeyOf(course);
    const name = home
      ? this.homeOf(home, course)
      : this.router.choose(request, tried, partial.weights);
    const address = name && this.directory.addressOf(name);
    return address ? { name, address } : undefined;
  }

  private homeOf(key: string, { request, tried, partial }: Course): string | undefined {
    const isOpen = (dataCentre: string): boolean => isIn(this.configuration(), dataCentre);
    const { weights } = partial;
    const candidates = this.directory
      .candidates(request.service, isOpen)
      .filter(({ name }) => !tried.has(name))
      .filter(({ name }) => !weights || this.directory.serves(name, weights));
    return pickHome(key, candidates, this.settings)?.name;
  }

  private async *attempt(course: Course, target: Target): AsyncGenerator<AnswerPart> {
    const { request, partial, signal, deadline } = course;
    const attempt = {
      number: course.nextAttempt(),
      address: target.address,
      attachOnly: course.mayOnlyAttach,
      alone: course.alone,
      timeoutMs: Math.max(1, deadline - this.wall()),
    };
    const units = unitsOf(request);
    this.router.start(target.name, units);
    try {
      for await (const part of this.reader.read(request, attempt, partial, signal)) {
        course.progress();
        yield part;
      }
    } finally {
      this.router.end(target.name, units);
    }
  }

  private recover(course: Course, target: Target, failure: Failure): Recovery {
    const { id } = course.request;
    this.log.debug('Attempt failed.', { id, attempt: course.attempts, type: failure.type });
    const recovery = course.recover(failure);
    const leaves = recovery !== Recovery.reconnect;
    if (leaves && failure instanceof LinkLost) this.router.suspect(target.name);
    if (recovery !== Recovery.giveUp) this.metrics.count(`requests_recovered_${recovery}`);
    return recovery;
  }
}
