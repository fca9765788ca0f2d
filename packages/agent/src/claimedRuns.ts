import { randomUUID } from 'node:crypto';
import {
  Execution,
  Failure,
  InProgress,
  KeyReused,
  OutcomeUnknown,
  StoreUnavailable,
  Timeout,
  toFailure,
} from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import { ClaimState } from '@laburnumstream/decisions';
import type { Claim, ClaimStore, ClaimRecord, HeldClaim } from '@laburnumstream/decisions';
import type { RunRequest } from '@laburnumstream/protocol';
import { sha256 } from '@laburnumstream/runtime';
import { runKey } from './runRegistry.js';
import type { RunStream } from './runStream.js';

const claimPrefix = 'laburnumstream/claims/';
const inProgressRetryMs = 1_000;
const claimTimeoutMs = 1_000;
/** Time after a failed claim during which claims fail at once. */
const storeBackoffMs = 500;
/** Timeout of the key check of a refused request; short, so that refusals are not delayed. */
const refusalCheckTimeoutMs = 100;
/** Concurrent key checks; further refusals leave the use of the key unknown. */
const maxRefusalChecks = 32;

/** Adds to a failure that nothing has run under its idempotency key. */
function withUnusedKey(error: unknown): Failure {
  const { type, message, status, execution, retryAfterMs } = toFailure(error);
  const details = { status, execution, keyUnused: true };
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
  return new Failure(type, message, { ...details, ...retry });
}

function claimKey(request: RunRequest): string {
  return claimPrefix + sha256(runKey(request));
}

/**
 * Runs requests with an idempotency key: claims the key first and records the outcome afterwards.
 */
export class ClaimedRuns {
  private activeRefusalChecks = 0;

  private storeBackoffUntil = -Infinity;

  constructor(
    private readonly claims: ClaimStore,
    private readonly clock: Clock,
    private readonly maxRecordedBytes: number,
    private readonly progressTimeoutMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Claims the key, then dispatches the request unless its deadline has passed. */
  async run(
    request: RunRequest,
    stream: RunStream,
    isPastDeadline: () => boolean,
    dispatch: () => Promise<void>,
  ): Promise<void> {
    const claim = await this.claim(request);
    if (claim.kind === 'taken') {
      this.replay(claim.record, request, stream);
      return;
    }
    // A process that was suspended during the claim must not start work that nobody waits for.
    if (isPastDeadline()) {
      await this.tryRelease(claim.held);
      throw new Timeout('The time of the request was over before it ran.', Execution.notRun);
    }
    try {
      await dispatch();
    } catch (error) {
      if (toFailure(error).execution !== Execution.notRun) throw error;
      await this.tryRelease(claim.held);
      throw withUnusedKey(error);
    }
    void this.recordOutcome(claim.held, stream);
  }

  /** Claims the key within a timeout; backs off from the store after a failure. */
  private async claim(request: RunRequest): Promise<Claim> {
    if (this.clock.now() < this.storeBackoffUntil) {
      throw new StoreUnavailable('The key-value service was out of reach a moment ago.');
    }
    const { signal, end } = this.startTimeout(claimTimeoutMs);
    try {
      const { fingerprint } = request;
      return await this.claims.claim(claimKey(request), randomUUID(), fingerprint, signal);
    } catch (error) {
      this.storeBackoffUntil = this.clock.now() + storeBackoffMs;
      this.metrics.count('claims_failed');
      throw new StoreUnavailable('The key cannot be claimed; this copy did not run.', error);
    } finally {
      end();
    }
  }

  /**
   * Completes a refusal made before the claim: replays the recorded outcome of the key, if any, or
   * throws the failure, marked when nothing has run under the key.
   */
  async completeRefusal(request: RunRequest, stream: RunStream, error: unknown): Promise<void> {
    const failure = toFailure(error);
    if (this.activeRefusalChecks >= maxRefusalChecks) throw failure;
    this.activeRefusalChecks += 1;
    const { signal, end } = this.startTimeout(refusalCheckTimeoutMs);
    let record: ClaimRecord | undefined;
    try {
      record = await this.claims.read(claimKey(request), signal);
    } catch {
      throw failure;
    } finally {
      end();
      this.activeRefusalChecks -= 1;
    }
    if (!record || record.state === ClaimState.released) throw withUnusedKey(failure);
    this.replay(record, request, stream);
  }

  private startTimeout(ms: number): { signal: AbortSignal; end: () => void } {
    const late = new AbortController();
    const done = new AbortController();
    this.clock.sleep(ms, done.signal).then(
      () => late.abort(),
      () => undefined,
    );
    return { signal: late.signal, end: () => done.abort() };
  }

  /** Responds from the record of another attempt. */
  private replay(record: ClaimRecord, request: RunRequest, stream: RunStream): void {
    if (record.fingerprint !== request.fingerprint) throw new KeyReused();
    const { answer, state } = record;
    const age = this.clock.wall() - record.at;
    if (state === ClaimState.claimed && age < this.progressTimeoutMs) {
      throw new InProgress(inProgressRetryMs);
    }
    if (!answer) throw new OutcomeUnknown('The request may have run; its answer is not kept.');
    this.metrics.count('answers_replayed');
    if (request.work.case === 'call') {
      stream.finish({ status: answer.status, body: answer.texts[0] ?? '' });
      return;
    }
    answer.texts.slice(request.resumeFrom).forEach((text) => stream.push(text));
    stream.finish();
  }

  private async recordOutcome(held: HeldClaim, stream: RunStream): Promise<void> {
    const { plainResponse, tokens } = stream;
    const texts = plainResponse ? [plainResponse.body] : tokens;
    const bytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
    const answer = { status: plainResponse?.status ?? 0, texts };
    try {
      await this.claims.recordRun(held, bytes <= this.maxRecordedBytes ? answer : undefined);
    } catch (error) {
      this.metrics.count('outcomes_not_recorded');
      this.log.warn('Outcome not recorded.', { type: toFailure(error).type });
    }
  }

  private async tryRelease(held: HeldClaim): Promise<void> {
    await this.claims.release(held).catch((error: unknown) => {
      this.log.warn('Claim not released.', { type: toFailure(error).type });
    });
  }
}
