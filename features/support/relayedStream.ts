import { ResponseMemory } from '@laburnumstream/decisions';
import { EventDelivery, EventRelay } from '@laburnumstream/forwarding';
import { VirtualClock } from '@laburnumstream/standins';
import { UnreadResponse } from './unreadResponse.js';

/** A relay of one stream to a response, and whether its engine is read. */
export class RelayedStream {
  readonly response = new UnreadResponse();

  readonly memory = new ResponseMemory(100_000_000);

  readonly relay: EventRelay;

  readonly delivery: EventDelivery;

  isRead = true;

  constructor() {
    const clock = new VirtualClock();
    const exchange = { response: this.response, head: {}, arrivedAt: 0 } as never;
    const codec = { encodeResponseHeaders: () => [] } as never;
    this.delivery = new EventDelivery(exchange, codec);
    this.relay = new EventRelay(this.delivery, clock, () => false, this.memory);
    const call = {
      pause: () => {
        this.isRead = false;
      },
      resume: () => {
        this.isRead = true;
      },
      abort: () => undefined,
    };
    const handle = {
      addStream: () => undefined,
      removeStream: () => undefined,
      recordEvent: () => undefined,
    };
    const markNothing = (): void => undefined;
    const attempt = { handle, call, markPrefilled: markNothing, markEnded: markNothing } as never;
    this.relay.attach(attempt);
    const head = { isSigned: true, wasNotRun: false, isEncoded: false } as never;
    this.relay.onHead(200, head, []);
  }
}
