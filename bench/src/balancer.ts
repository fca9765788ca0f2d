import { setTimeout as sleep } from 'node:timers/promises';
import { Caller } from './caller.js';
import type { CallOptions, CompletionResult } from './caller.js';
import type { FleetEntry } from './fleet.js';

const checkIntervalMs = 200;

/** The result of a completion that was sent through the balancer. */
export interface BalancedCompletion extends CompletionResult {
  readonly startedAt: number;
  readonly endedAt: number;
  /** Whether the stream ended with all requested tokens. */
  readonly isComplete: boolean;
  /** Error code and message when the connection broke, else empty. */
  readonly connectionError: string;
}

function isConnectionRefused(error: unknown): boolean {
  return (error as { code?: string }).code === 'ECONNREFUSED';
}

const emptyCompletion: CompletionResult = {
  status: 0,
  tokens: [],
  ended: false,
  firstTokenMs: 0,
  totalMs: 0,
};

/**
 * A stand-in for the platform's load balancer: polls the entries' readiness and retries refused
 * connections at the next entry.
 */
export class Balancer {
  private readonly callers = new Map<string, Caller>();

  private ready: FleetEntry[] = [];

  private next = 0;

  private readonly abort = new AbortController();

  constructor(
    private readonly entries: readonly FleetEntry[],
    private readonly token = 'token-of-workspace-0',
  ) {}

  /** Starts polling; resolves after the first readiness check. */
  async start(): Promise<this> {
    await this.checkReadiness();
    void this.pollReadiness();
    return this;
  }

  async stop(): Promise<void> {
    this.abort.abort();
    await Promise.all([...this.callers.values()].map((caller) => caller.close()));
  }

  /** Streams a completion through the next ready entry. */
  async complete(
    service: string,
    prompt: string,
    options: CallOptions = {},
  ): Promise<BalancedCompletion> {
    const startedAt = performance.now();
    let result = emptyCompletion;
    let connectionError = '';
    for (let attempts = 0; attempts <= this.entries.length; attempts += 1) {
      try {
        result = await this.nextCaller().complete(service, prompt, options);
        connectionError = '';
        break;
      } catch (error) {
        connectionError = `${(error as { code?: string }).code ?? ''} ${String(error)}`;
        if (!isConnectionRefused(error)) break;
      }
    }
    const isComplete = result.ended && result.tokens.length === (options.maxTokens ?? 8);
    return {
      ...result,
      startedAt,
      endedAt: performance.now(),
      isComplete,
      connectionError,
    };
  }

  private nextCaller(): Caller {
    const pool = this.ready.length > 0 ? this.ready : this.entries;
    const entry = pool[this.next % pool.length]!;
    this.next += 1;
    let caller = this.callers.get(entry.callerUrl);
    if (!caller) {
      caller = new Caller(entry.callerUrl, this.token);
      this.callers.set(entry.callerUrl, caller);
    }
    return caller;
  }

  private async pollReadiness(): Promise<void> {
    while (!this.abort.signal.aborted) {
      await sleep(checkIntervalMs);
      await this.checkReadiness();
    }
  }

  private async checkReadiness(): Promise<void> {
    const isReady = await Promise.all(
      this.entries.map(async ({ callerUrl }) => {
        const signal = AbortSignal.timeout(checkIntervalMs * 2);
        const response = await fetch(`${callerUrl}/ready`, { signal }).catch(() => undefined);
        await response?.body?.cancel();
        return response?.status === 200;
      }),
    );
    this.ready = this.entries.filter((_, index) => isReady[index]);
  }
}
