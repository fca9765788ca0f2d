import type { Clock } from '@laburnumstream/common';
import { toDatagramNumber } from '@laburnumstream/links';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { EngineMonitor } from './engineMonitor.js';

/** An entry that receives reports. */
interface Subscriber {
  readonly host: string;
  /** Time between two of its reports, in milliseconds. */
  intervalMs: number;
  /** Monotonic time of the last datagram from the entry, in milliseconds. */
  lastHeardAt: number;
  /** Monotonic time of the last report to the entry, in milliseconds. */
  lastSentAt: number;
}

/** State of the engine's weights, as reported to entries. */
export interface WeightState {
  /** Version of which the engine holds all layers; 0 for none. */
  readonly version: number;
  /** Whether the engine is about to unload its weights or is loading others. */
  readonly isSwitching: boolean;
  /** Time until the engine unloads its weights, in milliseconds; undefined while no switch is due. */
  readonly switchInMs: number | undefined;
  /** Time since its version is outdated, as an entry has proven; undefined if none has. */
  readonly outdatedMs: number | undefined;
}

/** Time without a datagram after which an entry receives no more reports: three updates, in milliseconds. */
const subscriptionTimeoutMs = 10_000;
const permille = 1_000;

/** Reports the state of the local engine to subscribed entries. */
export class EngineReporter {
  private readonly subscribers = new Map<string, Subscriber>();

  /** The part of the last state whose changes are reported immediately. */
  private lastUrgentState = '';

  constructor(
    /** IP:PORT of the endpoint. */
    private readonly address: string,
    private readonly monitor: EngineMonitor,
    private readonly getWeightState: () => WeightState,
    private readonly datagrams: FleetDatagrams,
    private readonly clock: Clock,
  ) {}

  /** Adds an entry as a subscriber, or renews its subscription. */
  subscribe(name: string, host: string, intervalMs: number): void {
    const known = this.subscribers.get(name);
    const lastHeardAt = this.clock.now();
    if (known?.host === host) Object.assign(known, { intervalMs, lastHeardAt });
    else {
      this.subscribers.set(name, { host, intervalMs, lastHeardAt, lastSentAt: -Infinity });
      // Until its first report, a new subscriber does not know which version the engine holds.
      this.report();
    }
  }

  /** Sends the reports that are due, or all of them after an urgent change. */
  report(): void {
    const { state } = this.monitor;
    if (!state) return;
    const now = this.clock.now();
    const { isAnswering } = this.monitor;
    const { version, isSwitching, switchInMs, outdatedMs } = this.getWeightState();
    const urgentState = `${isAnswering} ${isSwitching} ${version} ${state.bornAt}`;
    const isUrgent = urgentState !== this.lastUrgentState;
    this.lastUrgentState = urgentState;
    const value = {
      address: this.address,
      bornAt: BigInt(state.bornAt),
      running: state.running,
      waiting: state.waiting,
      pacePermille: toDatagramNumber(state.slowdown * permille),
      version,
      isSwitching,
      isAnswering,
      answeredMsAgo: toDatagramNumber(this.monitor.answeredMsAgo),
      ...(switchInMs === undefined ? {} : { switchInMs: toDatagramNumber(switchInMs) }),
      ...(outdatedMs === undefined ? {} : { outdatedMsAgo: toDatagramNumber(outdatedMs) }),
    };
    const hosts: string[] = [];
    this.subscribers.forEach((subscriber, name) => {
      if (now - subscriber.lastHeardAt > subscriptionTimeoutMs) this.subscribers.delete(name);
      else if (isUrgent || now - subscriber.lastSentAt >= subscriber.intervalMs) {
        Object.assign(subscriber, { lastSentAt: now });
        hosts.push(subscriber.host);
      }
    });
    this.datagrams.sendAll({ case: 'report', value }, hosts);
  }
}
