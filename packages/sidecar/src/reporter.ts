import type { Clock } from '@laburnumstream/common';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { EngineWatch } from './engineWatch.js';

/** An entry that wants reports. */
interface Subscriber {
  readonly host: string;
  everyMs: number;
  /** Monotonic time of its last datagram, in milliseconds. */
  heardAt: number;
  sentAt: number;
}

/** What entries are told of the engine's weights. */
export interface WeightState {
  /** Version whose every layer it holds; 0 for none. */
  readonly version: number;
  /** Whether it is about to leave its weights, or loads others. */
  readonly isSwitching: boolean;
  /** Time until it leaves its weights, in milliseconds; undefined while it need not. */
  readonly switchInMs: number | undefined;
}

/** Silence after which an entry gets no more reports, in milliseconds. */
const subscriptionMs = 4_000;
const permille = 1_000;

/** Reports the state of the engine to the entries that asked for it. */
export class Reporter {
  private readonly subscribers = new Map<string, Subscriber>();

  /** What entries must know at once when it changes. */
  private lastUrgent = '';

  constructor(
    /** IP:PORT of the endpoint. */
    private readonly address: string,
    private readonly watch: EngineWatch,
    private readonly weights: () => WeightState,
    private readonly datagrams: FleetDatagrams,
    private readonly clock: Clock,
  ) {}

  /** An entry asked for reports. */
  subscribe(name: string, host: string, everyMs: number): void {
    const known = this.subscribers.get(name);
    const heardAt = this.clock.now();
    if (known?.host === host) Object.assign(known, { everyMs, heardAt });
    else this.subscribers.set(name, { host, everyMs, heardAt, sentAt: -Infinity });
  }

  /** Sends the reports that are due, and all when something changed that can't wait. */
  report(): void {
    const { state } = this.watch;
    if (!state) return;
    const now = this.clock.now();
    const { isAnswering } = this.watch;
    const { version, isSwitching, switchInMs } = this.weights();
    const urgent = `${isAnswering} ${isSwitching} ${version} ${state.bornAt}`;
    const isUrgent = urgent !== this.lastUrgent;
    this.lastUrgent = urgent;
    const value = {
      address: this.address,
      bornAt: BigInt(state.bornAt),
      running: state.running,
      waiting: state.waiting,
      pacePermille: Math.round(state.pace * permille),
      version,
      isSwitching,
      isAnswering,
      ...(switchInMs === undefined ? {} : { switchInMs: Math.round(switchInMs) }),
    };
    const hosts: string[] = [];
    this.subscribers.forEach((subscriber, name) => {
      if (now - subscriber.heardAt > subscriptionMs) this.subscribers.delete(name);
      else if (isUrgent || now - subscriber.sentAt >= subscriber.everyMs) {
        Object.assign(subscriber, { sentAt: now });
        hosts.push(subscriber.host);
      }
    });
    this.datagrams.sendAll({ case: 'report', value }, hosts);
  }
}
