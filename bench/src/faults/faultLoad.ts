import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@laburnumstream/common';
import { Caller } from '../caller.js';
import type { Fleet } from '../fleet.js';
import type { FaultHistory } from './faultHistory.js';

const completionIntervalMs = 60;
const orderIntervalMs = 150;
const revisionIntervalMs = 200;
const requestTimeoutMs = 30_000;
/** Attempts of one order; its outcome may remain unknown after the last one. */
const maxAttempts = 12;
const retryDelayMs = 300;

interface ErrorBody {
  readonly error?: { readonly execution?: string };
}

/** Sends requests and reads the configuration revisions while faults are active. */
export class FaultLoad {
  private readonly abort = new AbortController();

  private readonly callers: readonly Caller[];

  private readonly running = new Set<Promise<void>>();

  private requestCount = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly history: FaultHistory,
    private readonly random: Random,
  ) {
    this.callers = fleet.entries.map(({ callerUrl }) => new Caller(callerUrl));
  }

  start(): void {
    void this.repeat(completionIntervalMs, () => this.sendCompletion());
    void this.repeat(orderIntervalMs, () => this.sendOrder());
    void this.repeat(revisionIntervalMs, () => this.readRevisions());
  }

  /** Starts no more requests, waits for those in flight and closes the callers. */
  async stop(): Promise<void> {
    this.abort.abort();
    await Promise.all(this.running);
    await Promise.all(this.callers.map((caller) => caller.close()));
  }

  /** Sends one completion and records it. Returns whether the stream reached its end. */
  async sendCompletion(): Promise<boolean> {
    this.requestCount += 1;
    const prompt = `prompt ${this.requestCount}`;
    const maxTokens = 10 + Math.floor(this.random.next() * 30);
    const signal = AbortSignal.timeout(requestTimeoutMs);
    const at = Date.now();
    const options = { maxTokens, signal };
    const result = await this.pickCaller()
      .complete('assistant', prompt, options)
      .catch(() => undefined);
    const { tokens = [], ended = false, status = 0, error } = result ?? {};
    const execution = String(error?.execution ?? '');
    this.history.completions.push({ prompt, maxTokens, tokens, ended, status, execution, at });
    return ended;
  }

  /** Places one order, retrying it with its key until it succeeds. */
  private async sendOrder(): Promise<void> {
    this.requestCount += 1;
    const key = `order-${this.requestCount}`;
    const body = JSON.stringify({ key });
    for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
      const outcome = await this.attemptOrder(key, body);
      this.history.orders.push(outcome);
      if (outcome.status === 200) return;
      await sleep(retryDelayMs);
    }
  }

  private async attemptOrder(key: string, body: string) {
    const headers = { 'idempotency-key': key, 'non-idempotent': 'true' };
    const signal = AbortSignal.timeout(requestTimeoutMs);
    try {
      const response = await this.pickCaller().call('desk', '/orders', body, { headers, signal });
      const { error } = response.body as ErrorBody;
      const execution = error?.execution ?? '';
      return {
        key,
        body,
        status: response.status,
        execution,
        response: JSON.stringify(response.body),
      };
    } catch {
      return { key, body, status: 0, execution: 'unknown', response: '' };
    }
  }

  private async readRevisions(): Promise<void> {
    await Promise.all(
      this.fleet.entries.map(async (entry) => {
        const start = entry.process.pid;
        const signal = AbortSignal.timeout(revisionIntervalMs * 5);
        const response = await fetch(`${entry.callerUrl}/ready`, { signal }).catch(() => undefined);
        if (!response) return;
        const { revision } = (await response.json().catch(() => ({}))) as { revision?: number };
        if (revision !== undefined && entry.process.pid === start) {
          this.history.revisions.push({ process: entry.name, start, revision });
        }
      }),
    );
  }

  private pickCaller(): Caller {
    return this.callers[Math.floor(this.random.next() * this.callers.length)]!;
  }

  private async repeat(gapMs: number, operation: () => Promise<unknown>): Promise<void> {
    while (!this.abort.signal.aborted) {
      const running: Promise<void> = operation().then(() => {
        this.running.delete(running);
      });
      this.running.add(running);
      await sleep(gapMs);
    }
  }
}
