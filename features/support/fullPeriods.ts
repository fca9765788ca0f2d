import { setTimeout as sleep } from 'node:timers/promises';
import type { ForwarderSettings } from '@laburnumstream/common';
import { breakOff } from './begunFleet.js';
import type { BegunFleet, BegunOptions } from './begunFleet.js';
import { sendRequest } from './platformCaller.js';
import type { CallerResponse } from './platformCaller.js';

/** A part of each period for which an endpoint turns resumed streams away; new requests are not affected. */
interface FullPeriod {
  readonly fullMs: number;
  readonly periodMs: number;
  /** Time by which the period of each endpoint begins after that of the one before it, in milliseconds. */
  readonly shiftMs: number;
}

/** Times at which endpoints are full, by name. */
export const fullPeriods: Readonly<Record<string, FullPeriod>> = {
  'each of 6 endpoints is full for 700 ms of 1050': { fullMs: 700, periodMs: 1_050, shiftMs: 175 },
  'all of 6 endpoints are full for 450 ms of 2500': { fullMs: 450, periodMs: 2_500, shiftMs: 0 },
};

/** Number of endpoints. */
export const fullEndpoints = 6;
/** Streams for each one that its endpoint breaks off. */
const streamsPerBreak = 6;
const brokenStreams = 36;
/** Time between two streams, in milliseconds: 27 in a second. */
const streamIntervalMs = 37;
/** Deadline of the streams and timeout of their route, in milliseconds. */
export const streamDeadlineMs = 2_800;
/** Bounds of a platform: a window that is longer than the deadline of a stream. */
export const fullOptions: BegunOptions = { bounds: { retryWindowMs: 10_000 } };

/** Sends streams to entries in turn, of which one in some is broken off; returns the responses to those. */
export async function sendThroughPeriods(
  fleet: BegunFleet,
  entries: readonly ForwarderSettings[],
  { fullMs, periodMs, shiftMs }: FullPeriod,
): Promise<CallerResponse[]> {
  const broken = new Set<string>();
  const startedAt = performance.now();
  Object.assign(fleet, {
    refuses: ({ index }, { headers }) =>
      headers['last-event-id'] !== undefined &&
      (performance.now() - startedAt + index * shiftMs) % periodMs < fullMs,
    interrupt: async (_endpoint, request) => {
      if (broken.has(String(request.headers['laburnumstream-request-id']))) await breakOff(request);
    },
  } satisfies Partial<BegunFleet>);
  const sending: Promise<CallerResponse>[] = [];
  for (let index = 0; index < brokenStreams * streamsPerBreak; index += 1) {
    const id = `stream-${index}`;
    // The entries get the same share of those that are broken off.
    const isBroken = (index + Math.floor(index / streamsPerBreak)) % streamsPerBreak === 0;
    const settings = entries[index % entries.length]!;
    if (isBroken) broken.add(id);
    const headers = {
      'laburnumstream-request-id': id,
      'laburnumstream-deadline-ms': String(streamDeadlineMs),
    };
    const response = sendRequest({ settings }, '/stream/x', { headers, body: `prompt ${index}` });
    if (isBroken) sending.push(response);
    else void response.catch(() => undefined);
    await sleep(streamIntervalMs);
  }
  return Promise.all(sending);
}
