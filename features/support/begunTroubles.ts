import { setTimeout as sleep } from 'node:timers/promises';
import type { ForwardingEntry } from '@laburnumstream/forwarding';
import { eventually } from './assertions.js';
import { breakOff } from './begunFleet.js';
import type { BegunFleet, BegunOptions } from './begunFleet.js';

/** Time for which endpoints stay full, in milliseconds: longer than the pause that the route allows. */
const fullMs = 600;
/** Time after which a change comes while a stream waits, in milliseconds. */
const changeAfterMs = 80;
/** Time for which an endpoint is silent although it goes on after, in milliseconds. */
const silentMs = 1_100;
const failuresBeforeBreak = 4;
const newRequestsEach20Ms = 60;
const newRequestIntervalMs = 20;
const waitingRequests = 6;
/** One connection for one entry at each endpoint. */
const oneConnection: BegunOptions = { maxConnections: 2 };

/** A way in which a stream loses its endpoint while no other is free. */
export interface BegunTrouble {
  readonly endpoints: number;
  readonly options?: BegunOptions;
  /** Streams that are sent at once; 1 by default. */
  readonly streams?: number;
  /** Prepares the fleet before the stream is sent. */
  prepare?(fleet: BegunFleet): Promise<void>;
  /** Sets what happens at the break. */
  arrange(fleet: BegunFleet, entry: ForwardingEntry): void;
}

/** Breaks a stream off while all endpoints are full for a while; `meanwhile` happens while it waits. */
function breakWhileFull(
  fleet: BegunFleet,
  meanwhile: () => Promise<void> | void = () => undefined,
): void {
  Object.assign(fleet, {
    interrupt: async (_endpoint, request) => {
      void fleet.fill(fleet.endpoints, fullMs);
      await breakOff(request);
      void sleep(changeAfterMs).then(meanwhile);
    },
  } satisfies Partial<BegunFleet>);
}

/** Breaks a stream off without further ado. */
function breakOnly(fleet: BegunFleet): void {
  Object.assign(fleet, {
    interrupt: async (_endpoint, request) => breakOff(request),
  } satisfies Partial<BegunFleet>);
}

/** Ways in which a stream that has begun loses its endpoint, by name. */
export const begunTroubles: Readonly<Record<string, BegunTrouble>> = {
  'the pause that the route allows passes': {
    endpoints: 2,
    options: oneConnection,
    prepare: (fleet) => fleet.occupy(),
    arrange: breakOnly,
  },
  'all endpoints have been tried': { endpoints: 2, arrange: (fleet) => breakWhileFull(fleet) },
  'six endpoints turn it away in turn': {
    endpoints: 6,
    arrange: (fleet) => breakWhileFull(fleet),
  },
  'the other endpoint has failed and rests': {
    endpoints: 2,
    arrange: (fleet) => {
      Object.assign(fleet, {
        interrupt: async (endpoint, request) => {
          const [other] = fleet.except(endpoint);
          fleet.end(other!, false);
          // Their answers are not waited for, as the time of the stream runs.
          while (fleet.countLines('requests: Attempt failed.') < failuresBeforeBreak) {
            void fleet.sendPlain().catch(() => undefined);
            await sleep(newRequestIntervalMs);
          }
          await fleet.restart(other!);
          await breakOff(request);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'others wait before it': {
    endpoints: 2,
    options: oneConnection,
    prepare: (fleet) => fleet.occupy(),
    arrange: (fleet) => {
      Object.assign(fleet, {
        interrupt: async (_endpoint, request) => {
          for (let sent = 0; sent < waitingRequests; sent += 1)
            void fleet.sendPlain().catch(() => undefined);
          await sleep(newRequestIntervalMs);
          await breakOff(request);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'new requests are more than fit': {
    endpoints: 2,
    options: oneConnection,
    prepare: (fleet) => fleet.occupy(),
    arrange: (fleet) => {
      Object.assign(fleet, {
        interrupt: async (_endpoint, request) => {
          void (async () => {
            for (let sent = 0; sent < newRequestsEach20Ms; sent += 1) {
              void fleet.sendPlain().catch(() => undefined);
              await sleep(newRequestIntervalMs);
            }
          })();
          await sleep(newRequestIntervalMs);
          await breakOff(request);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'the retry budget is used up for a moment': {
    endpoints: 3,
    options: { bounds: { retryWindowMs: 600, retrySlack: 4 } },
    streams: 6,
    arrange: breakOnly,
  },
  'each endpoint that it reaches ends': {
    endpoints: 4,
    arrange: (fleet) => {
      let ended = 0;
      const endOne: BegunFleet['interrupt'] = async (endpoint) => {
        if (ended === 2) return;
        ended += 1;
        fleet.end(endpoint, true);
      };
      Object.assign(fleet, { interrupt: endOne, resume: endOne } satisfies Partial<BegunFleet>);
    },
  },
  'it is moved to an endpoint that turns it away': {
    endpoints: 2,
    arrange: (fleet) => {
      Object.assign(fleet, {
        interrupt: async (endpoint, { socket }) => {
          void fleet.fill(fleet.except(endpoint), fullMs);
          await fleet.reportSwitch(endpoint);
          await eventually(() => socket.destroyed, 'the endpoint is rid of the stream');
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'its endpoint is silent for a while': {
    endpoints: 2,
    arrange: (fleet) => {
      Object.assign(fleet, {
        interrupt: async (endpoint) => {
          void fleet.fill(fleet.except(endpoint), silentMs);
          await sleep(silentMs);
        },
      } satisfies Partial<BegunFleet>);
    },
  },
  'the entry stops': {
    endpoints: 3,
    arrange: (fleet, entry) => breakWhileFull(fleet, () => entry.stop()),
  },
  'the timeout of its route changes': {
    endpoints: 3,
    arrange: (fleet) => breakWhileFull(fleet, () => fleet.configure({ TimeoutMs: 5_000 })),
  },
  'its route is taken away': {
    endpoints: 3,
    arrange: (fleet) => breakWhileFull(fleet, () => fleet.configure({}, false)),
  },
  'the configuration gets another version': {
    endpoints: 3,
    arrange: (fleet) => breakWhileFull(fleet, () => fleet.configure({})),
  },
};
