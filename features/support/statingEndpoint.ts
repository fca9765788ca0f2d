import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildHeaders, streamEvents } from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';

/** Header that names the entry to which a caller sends a request. */
export const entryHeader = 'x-entry';
/** Header with the monotonic time at which a caller sent a request, in milliseconds. */
export const sentHeader = 'x-sent';

const leavingHeader = 'server-leaving';
const limitHeader = 'server-limit';
const msPerSecond = 1_000;
const eventsPerStream = 12;
/** Time after a refusal until which requests that are under way may still arrive, in milliseconds. */
const pauseSlackMs = 500;

/** A request that reached an endpoint; times are monotonic, in milliseconds. */
export interface Arrival {
  readonly entry: string;
  readonly sentAt: number;
  readonly at: number;
}

/** A response in which an endpoint said that it leaves. */
interface LeavingNotice {
  readonly entry: string;
  readonly at: number;
}

/** A refusal with which an endpoint asked for a pause. */
interface PauseRequest extends LeavingNotice {
  readonly pauseMs: number;
}

function describeArrival({ headers }: IncomingMessage): Arrival {
  const entry = String(headers[entryHeader] ?? '');
  return { entry, sentAt: Number(headers[sentHeader] ?? 0), at: performance.now() };
}

/** Script of an endpoint that says in its responses that it leaves, or asks for pauses. */
export class StatingEndpoint {
  readonly arrivals: Arrival[] = [];

  readonly notices: LeavingNotice[] = [];

  readonly pauses: PauseRequest[] = [];

  /** Value of the header that says that it leaves, in responses to new requests; undefined omits it. */
  leaving: string | undefined;

  /** Entries that are told that it leaves; undefined tells all. */
  toldEntries: ReadonlySet<string> | undefined;

  /** Value of `Retry-After` in its next refusals instead of the time that is left. */
  retryAfter: string | undefined;

  /** Requests per second that it names as its limit in all responses; undefined names none. */
  limit: string | undefined;

  /** Delay before each response to a new request, in milliseconds. */
  delayMs = 0;

  private pausedUntil = -Infinity;

  /** Refuses all requests for some time and asks each of their entries for a pause of what is left. */
  pause(ms: number): void {
    this.pausedUntil = performance.now() + ms;
  }

  /** Takes all requests again. */
  endPause(): void {
    this.pausedUntil = -Infinity;
  }

  readonly behaviour: Behaviour = async (request, response, engine) => {
    const arrival = describeArrival(request);
    const { entry } = arrival;
    const { leaving, delayMs } = this;
    this.arrivals.push(arrival);
    if (delayMs > 0) await sleep(delayMs);
    if (this.limit !== undefined) response.setHeader(limitHeader, this.limit);
    const isTold = this.toldEntries?.has(entry) ?? true;
    if (leaving !== undefined && isTold) response.setHeader(leavingHeader, leaving);
    if (leaving === '1' && isTold) this.notices.push({ entry, at: performance.now() });
    const leftMs = this.pausedUntil - performance.now();
    if (leftMs <= 0) {
      await streamEvents(eventsPerStream)(request, response, engine);
      return;
    }
    const retryAfter = this.retryAfter ?? (leftMs / msPerSecond).toFixed(3);
    const pauseMs = Number(retryAfter) * msPerSecond;
    this.pauses.push({ entry, at: performance.now(), pauseMs });
    response.writeHead(503, {
      ...buildHeaders(request, engine),
      'laburnumstream-not-executed': '1',
      'retry-after': retryAfter,
    });
    response.end();
  };

  /** Requests that callers sent later than `slackMs` after their entry was first told that it leaves. */
  lateArrivals(slackMs: number): Arrival[] {
    return this.arrivals.filter(({ entry, sentAt }) =>
      this.notices.some((notice) => notice.entry === entry && sentAt > notice.at + slackMs),
    );
  }

  /** Most requests that came from one entry within a pause for which the endpoint had asked it. */
  maxWithinPause(): number {
    const counts = this.pauses.map(
      ({ entry, at, pauseMs }) =>
        this.arrivals.filter(
          (arrival) =>
            arrival.entry === entry && arrival.at > at + pauseSlackMs && arrival.at < at + pauseMs,
        ).length,
    );
    return Math.max(0, ...counts);
  }
}
