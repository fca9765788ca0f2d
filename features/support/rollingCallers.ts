import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@laburnumstream/common';
import type { BalancedEntry } from './balancedEntry.js';
import type { RollingFleet } from './rollingFleet.js';
import { sendStopRequest } from './stopCaller.js';
import type { StopOutcome } from './stopCaller.js';

/** How a request of a caller ended, after its retries. */
export interface RolledRequest {
  readonly attempts: readonly StopOutcome[];
  readonly isServed: boolean;
}

/** Deadline and retries of requests, as callers of the users' platform have them. */
const deadlineMs = 6_000;
const maxAttempts = 2;
/** Range of the time for which an engine works, in milliseconds. */
const workMs = { min: 50, spread: 150 } as const;
/** Range of the pause of a caller between two requests, in milliseconds. */
const pauseMs = { min: 50, spread: 500 } as const;
const msPerSecond = 1_000;

/** A caller that keeps its connection, and retries refused requests as it is told. */
class RollingCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private readonly random: SeededRandom;

  private entry: BalancedEntry | undefined;

  constructor(
    private readonly fleet: RollingFleet,
    private readonly index: number,
  ) {
    this.random = new SeededRandom(index);
  }

  async run(signal: AbortSignal): Promise<RolledRequest[]> {
    const requests: RolledRequest[] = [];
    while (!signal.aborted) {
      requests.push(await this.send());
      await sleep(pauseMs.min + this.random.next() * pauseMs.spread);
    }
    this.agent.destroy();
    return requests;
  }

  private async send(): Promise<RolledRequest> {
    const attempts: StopOutcome[] = [];
    const tried = new Set<BalancedEntry>();
    const request = {
      route: 'unsafe',
      workMs: Math.round(workMs.min + this.random.next() * workMs.spread),
      agent: this.agent,
    } as const;
    let mayRetry = true;
    while (mayRetry) {
      const entry = this.chooseEntry(tried);
      const sentBefore = attempts[0]?.sentAt ?? performance.now();
      const leftMs = Math.round(deadlineMs - (performance.now() - sentBefore));
      const outcome = await sendStopRequest(entry, { ...request, deadlineMs: leftMs });
      attempts.push(outcome);
      tried.add(entry);
      mayRetry = this.mayRetry(outcome) && attempts.length < maxAttempts;
      if (mayRetry) await sleep(Number(outcome.retryAfter ?? 0) * msPerSecond);
    }
    const last = attempts.at(-1)!;
    return { attempts, isServed: last.status === 200 && last.isWhole };
  }

  /** Only what has certainly not run is sent again. */
  private mayRetry({ id, status }: StopOutcome): boolean {
    return status === 503 || (status === 0 && !this.fleet.ranIds.has(id));
  }

  private chooseEntry(tried: ReadonlySet<BalancedEntry>): BalancedEntry {
    const isKept = Object.keys(this.agent.freeSockets).length > 0;
    if (!this.entry || !isKept || tried.has(this.entry))
      this.entry = this.fleet.route(this.index, tried);
    return this.entry;
  }
}

/** Starts callers; they end their last request after the signal. */
export async function runCallers(
  fleet: RollingFleet,
  count: number,
  signal: AbortSignal,
): Promise<RolledRequest[]> {
  const callers = Array.from({ length: count }, (_, index) => new RollingCaller(fleet, index));
  return (await Promise.all(callers.map((caller) => caller.run(signal)))).flat();
}
