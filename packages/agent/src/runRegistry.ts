import { KeyReused } from '@laburnumstream/common';
import type { Clock, Metrics } from '@laburnumstream/common';
import type { RunRequest } from '@laburnumstream/protocol';
import type { RunStream } from './runStream.js';

/** Runs kept in the registry; above this, ended runs are evicted. */
const maxRuns = 10_000;

/** A run started by this agent. */
export interface RegisteredRun {
  readonly key: string;
  readonly request: RunRequest;
  readonly stream: RunStream;
  readonly abort: AbortController;
  /** Number of entries currently reading the response. */
  readers: number;
}

/** Whether an idempotency key guards the request against a second run. */
export function usesIdempotencyKey({ nonIdempotent, idempotencyKey }: RunRequest): boolean {
  return nonIdempotent && idempotencyKey !== '';
}

/** Key of a run: workspace, service and idempotency key of a keyed request, else the request id. */
export function runKey(request: RunRequest): string {
  const { workspace, service, idempotencyKey, id } = request;
  return usesIdempotencyKey(request) ? `${workspace}\n${service}\n${idempotencyKey}` : id;
}

/** Whether a run may be cancelled: orders run to their end, so that their outcome is known. */
function mayCancel({ nonIdempotent, idempotencyKey, work }: RunRequest): boolean {
  return !nonIdempotent || (idempotencyKey === '' && work.case === 'generation');
}

/** Registry of runs, to which retried requests and reconnecting entries attach again. */
export class RunRegistry {
  private readonly runs = new Map<string, RegisteredRun>();

  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
    private readonly retentionMs: number,
    private readonly metrics: Metrics,
    private readonly signal: AbortSignal,
  ) {}

  /** The run of a request; throws `KeyReused` when its key was used with another body. */
  find(request: RunRequest): RegisteredRun | undefined {
    const run = this.runs.get(runKey(request));
    if (!run) return undefined;
    if (usesIdempotencyKey(request) && run.request.fingerprint !== request.fingerprint)
      throw new KeyReused();
    return run;
  }

  add(request: RunRequest, stream: RunStream): RegisteredRun {
    const key = runKey(request);
    const run = { key, request, stream, abort: new AbortController(), readers: 0 };
    this.runs.set(key, run);
    return run;
  }

  /** Removes a reader; a run without readers expires after a grace time. */
  detach(run: RegisteredRun): void {
    Object.assign(run, { readers: run.readers - 1 });
    if (run.readers > 0) return;
    const expiryMs =
      run.stream.isDone && usesIdempotencyKey(run.request) ? this.retentionMs : this.graceMs;
    void this.scheduleExpiry(run, expiryMs);
  }

  /** Cancels a run whose caller has disconnected, if that is allowed. */
  cancel(run: RegisteredRun): void {
    if (run.stream.isDone || !mayCancel(run.request)) return;
    this.metrics.count('runs_cancelled');
    run.abort.abort();
  }

  /** Removes a run, so that the request may run here again. */
  forget(run: RegisteredRun): void {
    if (this.runs.get(run.key) === run) this.runs.delete(run.key);
  }

  private async scheduleExpiry(run: RegisteredRun, ms: number): Promise<void> {
    // Sleeps without the signal, since a listener per request would accumulate on it.
    await this.clock.sleep(ms);
    if (!this.signal.aborted) this.expire(run);
  }

  private expire(run: RegisteredRun): void {
    if (run.readers > 0) return;
    if (!run.stream.isDone && !mayCancel(run.request)) {
      void this.scheduleExpiry(run, this.retentionMs);
      return;
    }
    if (!run.stream.isDone) this.metrics.count('runs_abandoned');
    run.abort.abort();
    this.forget(run);
    this.evictEndedRun();
  }

  private evictEndedRun(): void {
    if (this.runs.size <= maxRuns) return;
    const ended = [...this.runs.values()].find(({ stream, readers }) => stream.isDone && !readers);
    if (ended) this.forget(ended);
  }
}
