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
import type { EndpointRunner } from './endpointRunner.js';
import { usesIdempotencyKey } from './runRegistry.js';
import type { RegisteredRun, RunRegistry } from './runRegistry.js';
import type { SharedExclusiveLock } from './sharedExclusiveLock.js';
import { RunStream } from './runStream.js';
import type { FrameContent } from './runStream.js';

const retryAfterMs = 1_000;

/** The part of an endpoint gate that admits requests. */
export type AdmissionGate = Pick<EndpointGate, 'acquire' | 'limit' | 'inFlight' | 'queued'>;

/** Work units of a request: estimated, or actual when `tokens` is given. */
function countUnits({ work }: RunRequest, tokens?: number): number {
  if (work.case !== 'generation') return callUnits;
  return generationUnits(work.value.prompt, tokens ?? work.value.maxTokens);
}

/** Handles requests from entries: admits them, runs them once and streams the responses. */
export class RunHandler {
  private draining = false;

  private readerCount = 0;

  private runningCount = 0;

  constructor(
    private readonly settings: AgentSettings,
    private readonly configuration: () => Configuration,
    private readonly gate: AdmissionGate,
    private readonly registry: RunRegistry,
    private readonly endpoint: EndpointRunner,
    private readonly claimedRuns: ClaimedRuns,
    private readonly lock: SharedExclusiveLock,
    /**
     * Whether the state of the process is up to date; false after a suspension until it was
     * checked.
     */
    private readonly isSettled: () => boolean,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  get activeCount(): number {
    return Math.max(this.runningCount, this.readerCount);
  }

  /** Refuses new requests from now on. */
  drain(): void {
    this.draining = true;
  }

  /** Yields the frames of one request; a failure becomes a refusal frame. */
  async *run(request: RunRequest, signal: AbortSignal): AsyncGenerator<RunFrame> {
    const { id, attempt } = request;
    let sequence = 0;
    const frame = (content: FrameContent, weights = ''): RunFrame => {
      const load = create(EndpointLoadSchema, this.load());
      const message = create(RunFrameSchema, { id, attempt, sequence, content, load, weights });
      sequence += 1;
      return message;
    };
    this.readerCount += 1;
    try {
      const run = this.registry.find(request) ?? this.startRun(request);
      for await (const content of this.read(run, request, signal)) {
        yield frame(content, run.stream.weights);
      }
    } catch (error) {
      this.metrics.count('requests_refused');
      yield frame({ case: 'refusal', value: toRefusal(error) });
    } finally {
      this.readerCount -= 1;
    }
  }

  /** The load reported in frames and heartbeats. */
  load(): { instance: string; inFlight: number; limit: number; queued: number } {
    const { inFlight, limit, queued } = this.gate;
    return { instance: this.settings.instance, inFlight, limit, queued };
  }

  private async *read(
    run: RegisteredRun,
    { resumeFrom }: RunRequest,
    signal: AbortSignal,
  ): AsyncGenerator<FrameContent> {
    Object.assign(run, { readers: run.readers + 1 });
    try {
      yield* run.stream.read(resumeFrom, signal);
    } finally {
      if (signal.reason instanceof Aborted) this.registry.cancel(run);
      this.registry.detach(run);
    }
  }

  private startRun(request: RunRequest): RegisteredRun {
    if (request.attachOnly) throw new RunNotFound();
    this.checkAccepting(request);
    const { progressMs } = this.settings.options;
    const run = this.registry.add(
      request,
      new RunStream(request.resumeFrom, this.clock, progressMs),
    );
    void this.execute(run);
    return run;
  }

  private checkAccepting(request: RunRequest): void {
    if (this.draining) throw new Unavailable('The endpoint is leaving.', retryAfterMs);
    this.checkServing();
    if (request.service !== this.settings.service) {
      throw new Forbidden(`This endpoint does not serve ${request.service}.`);
    }
  }

  /**
   * Also checked right before the dispatch: the request may have waited or the process been
   * suspended.
   */
  private checkServing(): void {
    if (!this.isSettled()) throw new Unavailable('The agent has just stood still.', retryAfterMs);
    if (!isDataCentreInService(this.configuration(), this.settings.dataCentre)) {
      throw new Unavailable('The data centre is taken out.', retryAfterMs);
    }
  }

  private async execute(run: RegisteredRun): Promise<void> {
    const { request, stream } = run;
    this.runningCount += 1;
    try {
      await this.admitAndRun(run);
    } catch (error) {
      const failure = toFailure(error);
      this.log.debug('Request failed.', { id: request.id, type: failure.type });
      // A retry of a request that did not run or is idempotent must not get the old failure.
      const isRetryable = failure.execution === Execution.notRun || !request.nonIdempotent;
      if (isRetryable) this.registry.forget(run);
      stream.fail(failure);
    } finally {
      this.runningCount -= 1;
    }
  }

  private async admitAndRun(run: RegisteredRun): Promise<void> {
    const { request, stream, abort } = run;
    const isPastDeadline = this.startDeadline(request);
    const admission = this.gate.acquire(request.workspace, countUnits(request), abort.signal);
    const permit = await admission.catch((error: unknown) => {
      if (usesIdempotencyKey(request))
        return this.claimedRuns.completeRefusal(request, stream, error);
      throw error;
    });
    if (!permit) return;
    let succeeded = false;
    const dispatch = () => this.dispatch(run, permit.priority);
    try {
      if (await this.isRefusedAfterWait(run)) return;
      if (usesIdempotencyKey(request))
        await this.claimedRuns.run(request, stream, isPastDeadline, dispatch);
      else if (isPastDeadline()) throw new Timeout('The wait was too long.', Execution.notRun);
      else await dispatch();
      succeeded = true;
    } finally {
      permit.release(succeeded, countUnits(request, stream.tokens.length));
    }
  }

  private async dispatch(
    { request, stream, abort }: RegisteredRun,
    priority: number,
  ): Promise<void> {
    const release = await this.lock.acquire(request.alone, abort.signal);
    try {
      if (request.alone) await this.endpoint.checkAlive();
      await this.endpoint.run(request, stream, priority, abort.signal);
    } finally {
      release();
    }
  }

  private async isRefusedAfterWait({ request, stream }: RegisteredRun): Promise<boolean> {
    try {
      this.checkServing();
      return false;
    } catch (error) {
      if (!usesIdempotencyKey(request)) throw error;
      await this.claimedRuns.completeRefusal(request, stream, error);
      return true;
    }
  }

  /**
   * Returns a check whether the deadline of the request has passed by either clock; one of them may
   * stop while the process is suspended.
   */
  private startDeadline({ timeoutMs }: RunRequest): () => boolean {
    const { clock } = this;
    const limitMs = timeoutMs || this.settings.options.requestTimeoutMs;
    const startedAt = clock.now();
    const startedAtWall = clock.wall();
    return () => Math.max(clock.now() - startedAt, clock.wall() - startedAtWall) >= limitMs;
  }
}
