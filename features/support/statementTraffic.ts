import { setTimeout as sleep } from 'node:timers/promises';
import { deadlineMs as defaultDeadlineMs, sendRequest } from './platformCaller.js';
import { entryHeader, sentHeader } from './statingEndpoint.js';

/** An entry to which requests are sent. */
export interface TrafficTarget {
  readonly name: string;
  /** IP:PORT */
  readonly callerAddress: string;
}

/** A caller's request; times are monotonic, in milliseconds. */
export interface SentRequest {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  readonly isServed: boolean;
  /** Time after which its caller is asked to come back, in milliseconds; undefined if it is not. */
  readonly retryAfterMs: number | undefined;
}

const tickMs = 10;
const msPerSecond = 1_000;

/** Sends streams to entries in turn, at a fixed rate. */
export class StatementTraffic {
  readonly requests: SentRequest[] = [];

  private readonly pending = new Set<Promise<void>>();

  private sentCount = 0;

  constructor(
    private readonly targets: readonly TrafficTarget[],
    private readonly perSecond: number,
    private readonly deadlineMs = defaultDeadlineMs,
  ) {}

  /** Sends requests for some time. */
  async run(durationMs: number): Promise<void> {
    const startedAt = performance.now();
    let elapsedMs = 0;
    let count = 0;
    while (elapsedMs < durationMs) {
      for (; count < (elapsedMs / msPerSecond) * this.perSecond; count += 1) this.send();
      await sleep(tickMs);
      elapsedMs = performance.now() - startedAt;
    }
  }

  /** Waits for the responses to all requests. */
  async finish(): Promise<void> {
    await Promise.all(this.pending);
  }

  /** Sends one request. */
  send(): void {
    const { name, callerAddress } = this.targets[this.sentCount % this.targets.length]!;
    this.sentCount += 1;
    const sentAt = performance.now();
    const headers = {
      [entryHeader]: name,
      [sentHeader]: String(sentAt),
      'laburnumstream-deadline-ms': String(this.deadlineMs),
    };
    const sending = sendRequest({ settings: { callerAddress } }, '/stream/x', { headers })
      .then(({ status, isWhole, headers: received }) => {
        const retryAfter = received['retry-after'];
        this.requests.push({
          sentAt,
          endedAt: performance.now(),
          status,
          isServed: isWhole && status === 200,
          retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * msPerSecond,
        });
      })
      .finally(() => this.pending.delete(sending));
    this.pending.add(sending);
  }
}
