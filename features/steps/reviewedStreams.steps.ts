import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Then, When, World } from '@cucumber/cucumber';
import { BegunFleet, breakOff, eventCount } from '../support/begunFleet.js';
import { eventually } from '../support/assertions.js';
import { sendRequest } from '../support/platformCaller.js';
import type { CallerResponse } from '../support/platformCaller.js';
import { budgetWait, reviewedTroubles, takeBack, takeOut } from '../support/reviewedTroubles.js';

interface ReviewedWorld extends World {
  reviewedFleet: BegunFleet;
  begunStreams: CallerResponse[];
  newRequests: CallerResponse[];
}

/** Time after the last break until the new requests are sent, in milliseconds. */
const waitMs = 50;
/** Deadline of a caller that sends its request for the first time: the timeout of the route, in milliseconds. */
const freshDeadlineMs = 2_500;

function isComplete({ body, isWhole }: CallerResponse): boolean {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  return isWhole && ids.length === eventCount && ids.every((id, index) => id === index + 1);
}

/** Failed attempts, cuts and refusals that the entry has logged. */
function describeEnds({ reviewedFleet: { platform } }: ReviewedWorld): string {
  const lines = platform.logEntries.filter(({ message }) =>
    /Attempt failed\.|Stream cut\.|Request refused\./.test(message),
  );
  return lines
    .map(({ message, fields: { cause, reason, leftMs } }) =>
      [message, String(cause ?? reason), `${String(leftMs)} ms left`].join(' '),
    )
    .join('; ');
}

After(async function close(this: Partial<ReviewedWorld>) {
  await this.reviewedFleet?.close();
});

When(
  /^a begun stream is left: (.+)$/,
  { timeout: 30_000 },
  async function leave(this: ReviewedWorld, name: string) {
    const trouble = reviewedTroubles[name]!;
    this.reviewedFleet = await BegunFleet.start(trouble.endpoints, trouble.options);
    const { reviewedFleet: fleet } = this;
    await fleet.startEntry();
    await trouble.prepare?.(fleet);
    trouble.arrange(fleet);
    const send = trouble.send ?? ((): Promise<CallerResponse> => fleet.sendStream());
    const sending = Array.from({ length: trouble.streams ?? 1 }, () => send(fleet));
    this.begunStreams = await Promise.all(sending);
  },
);

Then('its callers get all events once each', function whole(this: ReviewedWorld) {
  const count = this.begunStreams.filter(isComplete).length;
  const seen = `${count} of ${this.begunStreams.length} streams whole; ${describeEnds(this)}`;
  this.log(seen);
  assert.equal(count, this.begunStreams.length, seen);
});

When(
  'begun streams wait for the retry budget and new requests come',
  { timeout: 30_000 },
  async function compete(this: ReviewedWorld) {
    const { endpoints, options, streams, newRequests } = budgetWait;
    this.reviewedFleet = await BegunFleet.start(endpoints, options);
    const { reviewedFleet: fleet } = this;
    await fleet.startEntry();
    await takeOut(fleet, 1);
    let broken = 0;
    let isBack: Promise<void> | undefined;
    fleet.interrupt = async (_endpoint, request) => {
      isBack ??= takeBack(fleet, 1);
      await isBack;
      broken += 1;
      await breakOff(request);
    };
    const headers = { 'laburnumstream-deadline-ms': String(freshDeadlineMs) };
    const send = (path: string, count: number): Promise<CallerResponse[]> =>
      Promise.all(
        Array.from({ length: count }, () => sendRequest(fleet.platform, path, { headers })),
      );
    const sending = send('/stream/x', streams);
    await eventually(() => broken === streams, 'all streams are broken off');
    await sleep(waitMs);
    this.newRequests = await send('/safe/x', newRequests);
    await sending;
  },
);

Then('the new requests are answered', function answered(this: ReviewedWorld) {
  const statuses = this.newRequests.map(({ status }) => status);
  const seen = `${statuses.join()}; ${describeEnds(this)}`;
  this.log(seen);
  assert.ok(
    this.newRequests.every(({ status }) => status === 200),
    seen,
  );
});

Then(
  /^it has run on (\d+) running endpoints at most$/,
  function runs(this: ReviewedWorld, most: string) {
    const used = new Set(this.reviewedFleet.arrivals.map(({ endpoint }) => endpoint));
    const seen = `${used.size} endpoints; ${describeEnds(this)}`;
    this.log(seen);
    assert.ok(used.size <= Number(most), seen);
  },
);
