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
import { runKey } from './requestLedger.js';
import type { RunStream } from './runStream.js';

const claimPrefix = 'laburnumstream/claims/';
const inProgressRetryMs = 1_000;
const claimTimeoutMs = 1_000;
/** Time for which claims are refused at once after one has failed. */
const storePauseMs = 500;
/** Longest check of a refused request's key, so that a refusal comes at once. */
const refusalCheckMs = 100;
/** Most checks at once; beyond them a refusal says `unknown`. */
const mostRefusalChecks = 32;

/** The failure with the knowledge that nothing has run under its key. */
function keyUnused(error: unknown): Failure {
  const { type, message, status, execution, retryAfterMs } = toFailure(error);
  const details = { status, execution, keyUnused: true };
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
  return new Failure(type, message, { ...details, ...retry });
}

function storeKey(request: RunRequest): string {
  return claimPrefix + sha256(runKey(request));
}

/** Runs requests with an idempotency key: claimed before the run, recorded after it. */
export class ClaimedRuns {
  private refusalChecks = 0;

  private storeDownUntil = -Infinity;

  constructor(
    private readonly claims: ClaimStore,
    private readonly clock: Clock,
    private readonly recordedBytes: number,
    private readonly progressTimeoutMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Claims the key, then dispatches unless the request's time is over. */
  async run(
    request: RunRequest,
    stream: RunStream,
    overdue: () => boolean,
    dispatch: () => Promise<void>,
  ): Promise<void> {
    const claim = await this.claim(request);
    if (claim.kind === 'taken') {
      this.replay(claim.record, request, stream);
      return;
    }
    // A process that was frozen since the claim must not begin work that nobody awaits.
    if (overdue()) {
      await this.releaseQuietly(claim.held);
      throw new Timeout('The time of the request was over before it ran.', Execution.notRun);
    }
    try {
      await dispatch();
    } catch (error) {
      if (toFailure(error).execution !== Execution.notRun) throw error;
      await this.releaseQuietly(claim.held);
      throw keyUnused(error);
    }
    void this.record(claim.held, stream);
  }

  /** Claims at most for a while; after a failure the store is left alone for a moment. */
  private async claim(request: RunRequest): Promise<Claim> {
    if (this.clock.now() < this.storeDownUntil) {
      throw new StoreUnavailable('The key-value service was out of reach a moment ago.');
    }
    const { signal, end } = this.timeout(claimTimeoutMs);
    try {
      const { fingerprint } = request;
      return await this.claims.claim(storeKey(request), randomUUID(), fingerprint, signal);
    } catch (error) {
      this.storeDownUntil = this.clock.now() + storePauseMs;
      this.metrics.count('claims_failed');
      throw new StoreUnavailable('The key cannot be claimed; this copy did not run.', error);
    } finally {
      end();
    }
  }

  /** Completes a refusal made before the claim: what is known of the key decides its wording. */
  async refuse(request: RunRequest, stream: RunStream, error: unknown): Promise<void> {
    const failure = toFailure(error);
    if (this.refusalChecks >= mostRefusalChecks) throw failure;
    this.refusalChecks += 1;
    const { signal, end } = this.timeout(refusalCheckMs);
    let record: ClaimRecord | undefined;
    try {
      record = await this.claims.read(storeKey(request), signal);
    } catch {
      throw failure;
    } finally {
      end();
      this.refusalChecks -= 1;
    }
    if (!record || record.state === ClaimState.released) throw keyUnused(failure);
    this.replay(record, request, stream);
  }

  private timeout(ms: number): { signal: AbortSignal; end: () => void } {
    const late = new AbortController();
    const done = new AbortController();
    this.clock.sleep(ms, done.signal).then(
      () => late.abort(),
      () => undefined,
    );
    return { signal: late.signal, end: () => done.abort() };
  }

  /** Answers from a record that another attempt made. */
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

  private async record(held: HeldClaim, stream: RunStream): Promise<void> {
    const { plainAnswer, tokens } = stream;
    const texts = plainAnswer ? [plainAnswer.body] : tokens;
    const bytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
    const answer = { status: plainAnswer?.status ?? 0, texts };
    try {
      await this.claims.recordRun(held, bytes <= this.recordedBytes ? answer : undefined);
    } catch (error) {
      this.metrics.count('outcomes_not_recorded');
      this.log.warn('Outcome not recorded.', { type: toFailure(error).type });
    }
  }

  private async releaseQuietly(held: HeldClaim): Promise<void> {
    await this.claims.release(held).catch((error: unknown) => {
      this.log.warn('Claim not released.', { type: toFailure(error).type });
    });
  }
}
