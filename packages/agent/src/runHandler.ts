import {
  Aborted,
  Execution,
  Forbidden,
  RunNotFound,
  Timeout,
  Unavailable,
  toFailure,
} from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import { callUnits, generationUnits, isDataCentreInService } from '@laburnumstream/decisions';
import type { Configuration } from '@laburnumstream/decisions';
import { create, toRefusal } from '@laburnumstream/links';
import { EndpointLoadSchema, RunFrameSchema } from '@laburnumstream/protocol';
import type { RunFrame, RunRequest } from '@laburnumstream/protocol';
import type { AgentSettings } from '@laburnumstream/runtime';
import type { ClaimedRuns } from './claimedRuns.js';
import type { EndpointGate } from './endpointGate.js';
import type { EndpointRuns } from './endpointRuns.js';
import { isKeyed } from './requestLedger.js';
import type { LedgerRun, RequestLedger } from './requestLedger.js';
import type { SoloLock } from './soloLock.js';
import { RunStream } from './runStream.js';
import type { Content } from './runStream.js';

const retryAfterMs = 1_000;

/** What admits requests to the endpoint. */
export type Admitter = Pick<EndpointGate, 'acquire' | 'limit' | 'inFlight' | 'queued'>;

/** Work units of a request; with `tokens` given, what it really took. */
function unitsOf({ work }: RunRequest, tokens?: number): number {
  if (work.case !== 'generation') return callUnits;
  return generationUnits(work.value.prompt, tokens ?? work.value.maxTokens);
}

/** Takes requests from entries: admits them, runs them once and lets entries read the answers. */
export class RunHandler {
  private draining = false;

  private readers = 0;

  private running = 0;

  constructor(
    private readonly settings: AgentSettings,
    private readonly configuration: () => Configuration,
    private readonly gate: Admitter,
    private readonly ledger: RequestLedger,
    private readonly endpoint: EndpointRuns,
    private readonly claimed: ClaimedRuns,
    private readonly solo: SoloLock,
    /** Whether the process may act on what it knows; not so just after it stood still. */
    private readonly isSettled: () => boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  get active(): number {
    return Math.max(this.running, this.readers);
  }

  /** Refuses new requests from now on. */
  drain(): void {
    this.draining = true;
  }

  /** The frames of one request; failures become a refusal frame. */
  async *run(request: RunRequest, signal: AbortSignal): AsyncGenerator<RunFrame> {
    const { id, attempt } = request;
    let sequence = 0;
    const frame = (content: Content, weights = ''): RunFrame => {
      const load = create(EndpointLoadSchema, this.load());
      const message = create(RunFrameSchema, { id, attempt, sequence, content, load, weights });
      sequence += 1;
      return message;
    };
    this.readers += 1;
    try {
      const run = this.ledger.find(request) ?? this.begin(request);
      for await (const content of this.read(run, request, signal)) {
        yield frame(content, run.stream.weights);
      }
    } catch (error) {
      this.metrics.count('requests_refused');
      yield frame({ case: 'refusal', value: toRefusal(error) });
    } finally {
      this.readers -= 1;
    }
  }

  /** The load as reported on replies and heartbeats. */
  load(): { instance: string; inFlight: number; limit: number; queued: number } {
    const { inFlight, limit, queued } = this.gate;
    return { instance: this.settings.instance, inFlight, limit, queued };
  }

  private async *read(
    run: LedgerRun,
    { resumeFrom }: RunRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Content> {
    Object.assign(run, { readers: run.readers + 1 });
    try {
      yield* run.stream.read(resumeFrom, signal);
    } finally {
      if (signal.reason instanceof Aborted) this.ledger.cancel(run);
      this.ledger.leave(run);
    }
  }

  private begin(request: RunRequest): LedgerRun {
    if (request.attachOnly) throw new RunNotFound();
    this.checkOpen(request);
    const { progressMs } = this.settings.options;
    const run = this.ledger.add(request, new RunStream(request.resumeFrom, this.clock, progressMs));
    void this.drive(run);
    return run;
  }

  private checkOpen(request: RunRequest): void {
    if (this.draining) throw new Unavailable('The endpoint is leaving.', retryAfterMs);
    this.checkStanding();
    if (request.service !== this.settings.service) {
      throw new Forbidden(`This endpoint does not serve ${request.service}.`);
    }
  }

  /** Also holds right before a request starts: it may have waited, or the process stood still. */
  private checkStanding(): void {
    if (!this.isSettled()) throw new Unavailable('The agent has just stood still.', retryAfterMs);
    if (!isDataCentreInService(this.configuration(), this.settings.dataCentre)) {
      throw new Unavailable('The data centre is taken out.', retryAfterMs);
    }
  }

  private async drive(run: LedgerRun): Promise<void> {
    const { request, stream } = run;
    this.running += 1;
    try {
      await this.admitted(run);
    } catch (error) {
      const failure = toFailure(error);
      this.log.debug('Request failed.', { id: request.id, type: failure.type });
      // A request that did not run, or that may run again, meets no old failure when it returns.
      const repeatable = failure.execution === Execution.notRun || !request.nonIdempotent;
      if (repeatable) this.ledger.forget(run);
      stream.fail(failure);
    } finally {
      this.running -= 1;
    }
  }

  private async admitted(run: LedgerRun): Promise<void> {
    const { request, stream, abort } = run;
    const overdue = this.deadlineOf(request);
    const admission = this.gate.acquire(request.workspace, unitsOf(request), abort.signal);
    const permit = await admission.catch((error: unknown) => {
      if (isKeyed(request)) return this.claimed.refuse(request, stream, error);
      throw error;
    });
    if (!permit) return;
    let succeeded = false;
    const dispatch = () => this.dispatch(run, permit.priority);
    try {
      if (await this.isRefusedNow(run)) return;
      if (isKeyed(request)) await this.claimed.run(request, stream, overdue, dispatch);
      else if (overdue()) throw new Timeout('The wait was too long.', Execution.notRun);
      else await dispatch();
      succeeded = true;
    } finally {
      permit.release(succeeded, unitsOf(request, stream.tokens.length));
    }
  }

  private async dispatch({ request, stream, abort }: LedgerRun, priority: number): Promise<void> {
    const leave = await this.solo.enter(request.alone, abort.signal);
    try {
      if (request.alone) await this.endpoint.checkAlive();
      await this.endpoint.run(request, stream, priority, abort.signal);
    } finally {
      leave();
    }
  }

  private async isRefusedNow({ request, stream }: LedgerRun): Promise<boolean> {
    try {
      this.checkStanding();
      return false;
    } catch (error) {
      if (!isKeyed(request)) throw error;
      await this.claimed.refuse(request, stream, error);
      return true;
    }
  }

  /** Whether the request's time is over, by either clock: one may stand still while suspended. */
  private deadlineOf({ timeoutMs }: RunRequest): () => boolean {
    const { clock } = this;
    const limit = timeoutMs || this.settings.options.requestTimeoutMs;
    const now = clock.now();
    const wall = clock.wall();
    return () => Math.max(clock.now() - now, clock.wall() - wall) >= limit;
  }
}
