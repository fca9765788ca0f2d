import { setTimeout as sleep } from 'node:timers/promises';
import { eventually } from './assertions.js';
import { breakOff } from './begunFleet.js';
import type { BegunFleet, BegunOptions } from './begunFleet.js';
import { sendRequest } from './platformCaller.js';
import type { CallerResponse } from './platformCaller.js';

/** Time for which an endpoint is silent although it goes on after, in milliseconds. */
const silentMs = 1_100;
/** Time after which the store takes the registration of an ended endpoint away, in milliseconds. */
const lateLossMs = 2_000;
/** Time that the entry needs to see a change of the store, in milliseconds. */
const noticeMs = 200;
const longDeadlineMs = 4_500;
/** Few retries in a window that is longer than the deadline of a stream. */
const smallBudget: BegunOptions = { bounds: { retryWindowMs: 3_000, retrySlack: 2 } };

/** A way in which a stream could go on, although not at once. */
export interface ReviewedTrouble {
  readonly endpoints: number;
  readonly options?: BegunOptions;
  /** Streams that are sent at once; 1 by default. */
  readonly streams?: number;
  /** Prepares the fleet before the streams are sent. */
  prepare?(fleet: BegunFleet): Promise<void>;
  /** Sets what happens at the break. */
  arrange(fleet: BegunFleet): void;
  /** Sends one stream; by default with the usual deadline. */
  send?(fleet: BegunFleet): Promise<CallerResponse>;
}

/** Takes an endpoint out until it is registered as ready again. */
export async function takeOut({ platform, endpoints }: BegunFleet, index: number): Promise<void> {
  platform.registerEngine(endpoints[index]!.engine, 'draining');
  await sleep(noticeMs);
}

/** Registers an endpoint that was taken out as ready again. */
export async function takeBack({ platform, endpoints }: BegunFleet, index: number): Promise<void> {
  platform.registerEngine(endpoints[index]!.engine, 'ready');
  await sleep(noticeMs);
}

/** Ways in which a stream could go on, by name. */
export const reviewedTroubles: Readonly<Record<string, ReviewedTrouble>> = {
  // Its route allows two executions: a third would be refused, so the second must not be given up.
  'its last endpoint is silent for a while': {
    endpoints: 3,
    arrange: (fleet) => {
      let isFirst = true;
      Object.assign(fleet, {
        interrupt: async (_endpoint, request) => breakOff(request),
        resume: async () => {
          if (!isFirst) return;
          isFirst = false;
          await sleep(silentMs);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  // All runs would go on; the budget allows to give up some of them only.
  'more endpoints are silent than the budget allows': {
    endpoints: 2,
    options: smallBudget,
    streams: 6,
    prepare: (fleet) => takeOut(fleet, 1),
    arrange: (fleet) => {
      Object.assign(fleet, {
        interrupt: async () => {
          void takeBack(fleet, 1);
          await sleep(silentMs);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'the endpoint that it was moved from is free again': {
    endpoints: 2,
    arrange: (fleet) => {
      let isBack: Promise<void> | undefined;
      Object.assign(fleet, {
        interrupt: async (endpoint, { socket }) => {
          await fleet.reportSwitch(endpoint);
          await eventually(() => socket.destroyed, 'the endpoint is rid of the stream');
        },
        resume: async (endpoint) => {
          if (isBack) return;
          const [first] = fleet.except(endpoint);
          isBack = (async () => {
            fleet.end(first!, true);
            await sleep(noticeMs);
            await fleet.restart(first!);
            await sleep(noticeMs);
          })();
          await isBack;
          const before = fleet.arrivals.length;
          await eventually(async () => {
            await fleet.sendPlain();
            return fleet.arrivals.slice(before).some(({ endpoint: at }) => at === first!.index);
          }, 'the first endpoint gets requests again');
          fleet.end(endpoint, true);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'the loss of its endpoints is known after 2 s': {
    endpoints: 3,
    prepare: async (fleet) => {
      fleet.configure({ TimeoutMs: longDeadlineMs });
      await sleep(noticeMs);
    },
    arrange: (fleet) => {
      let ended = 0;
      const endOne: BegunFleet['interrupt'] = async (endpoint) => {
        if (ended === 2) return;
        ended += 1;
        fleet.end(endpoint, false);
        void sleep(lateLossMs).then(() => fleet.end(endpoint, true));
      };
      Object.assign(fleet, { interrupt: endOne, resume: endOne } satisfies Partial<BegunFleet>);
    },
    send: ({ platform }) =>
      sendRequest(platform, '/stream/x', {
        headers: { 'laburnumstream-deadline-ms': String(longDeadlineMs) },
      }),
  },
  // Its route allows two endpoints, and it has run on one.
  'one endpoint breaks it off twice': {
    endpoints: 2,
    prepare: (fleet) => takeOut(fleet, 1),
    arrange: (fleet) => {
      let isFirst = true;
      Object.assign(fleet, {
        interrupt: async (_endpoint, request) => breakOff(request),
        resume: async (_endpoint, request) => {
          if (!isFirst) return;
          isFirst = false;
          await takeBack(fleet, 1);
          await breakOff(request);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  // They run on, and so count for the limit of its route, which is two.
  'its endpoints lose their registration only': {
    endpoints: 5,
    arrange: (fleet) => {
      const leave: BegunFleet['interrupt'] = async ({ engine }, request) => {
        fleet.platform.store.remove(`servers/${engine.id}`);
        await breakOff(request);
      };
      Object.assign(fleet, { interrupt: leave, resume: leave } satisfies Partial<BegunFleet>);
    },
  },
};

/**
 * Streams that one endpoint breaks off at once while the budget allows a few retries, and new requests beside;
 * the other endpoint has not failed and is free.
 */
export const budgetWait = {
  endpoints: 2,
  options: smallBudget,
  streams: 12,
  newRequests: 5,
} as const;
