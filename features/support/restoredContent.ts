import { HistoryLost, SleepAwareClock } from '@laburnumstream/common';
import type { StoreChange, StoreFeed } from '@laburnumstream/common';
import { ConfigurationFreshness } from '@laburnumstream/decisions';
import { DatedStore, FleetState, FleetWatcher } from '@laburnumstream/forwarding';
import { storeCodec } from '@laburnumstream/platform';
import { VirtualClock } from '@laburnumstream/standins';
import { noopLog, noopMetrics } from './largeFleet.js';
import { firstStart } from './platformFleet.js';
import { platformBounds } from './platformBounds.js';

const copyRevision = 10;
const latencyMs = 5;
const sampleMs = 50;

/** Something that a store may lose, and how a fleet state shows it. */
export interface LostContent {
  readonly key: string;
  readonly value: object;
  /** The value of an older copy; undefined if it does not have the key. */
  readonly older: object | undefined;
  readonly isInForce: (state: FleetState) => boolean;
}

const registration = {
  Service: 'desk',
  Address: '127.0.0.1:9',
  Zone: 'a',
  Slots: 6,
  State: 'ready',
  born: firstStart,
};

/** What a store may lose, by name. */
export const lostContents: Readonly<Record<string, LostContent>> = {
  'an endpoint': {
    key: 'servers/e0',
    value: registration,
    older: undefined,
    isInForce: ({ endpoints }) => endpoints.has('e0'),
  },
  'a draining endpoint': {
    key: 'servers/e0',
    value: { ...registration, State: 'draining' },
    older: registration,
    isInForce: ({ endpoints }) => endpoints.get('e0')?.isDraining === true,
  },
  'an evacuation': {
    key: 'op/evacuate/a',
    value: {},
    older: undefined,
    isInForce: (state) => state.isEvacuated('a'),
  },
};

/** A store with one value, which it loses as it comes back from a copy, and an entry's watcher of it. */
export class RestoredContent {
  private readonly clock = new VirtualClock();

  private readonly state = new FleetState(noopMetrics, noopLog, () => undefined);

  private epoch = 1;

  private change: StoreChange;

  constructor(private readonly content: LostContent) {
    this.change = this.createChange(content.value, copyRevision + 1);
    const proofClock = new SleepAwareClock(this.clock);
    const watcher = new FleetWatcher(
      new DatedStore(this.createStore(), proofClock, platformBounds),
      storeCodec,
      this.state,
      new ConfigurationFreshness(platformBounds.revocationMs, platformBounds.configurationMs),
      proofClock,
      this.clock,
      noopMetrics,
      noopLog,
      platformBounds,
    );
    void watcher.run(new AbortController().signal);
  }

  /** Whether the content is in force. */
  get isInForce(): boolean {
    return this.content.isInForce(this.state);
  }

  /** Loses the content at a time in milliseconds, and gets it again at another one. */
  async lose(at: number, againAt = Infinity): Promise<void> {
    await this.clock.runUntil(at);
    this.epoch += 1;
    this.change = this.createChange(this.content.older, copyRevision);
    if (againAt === Infinity) return;
    void this.clock.sleep(againAt - at).then(() => {
      this.change = this.createChange(this.content.value, copyRevision + 1);
    });
  }

  /** Runs until a time in milliseconds; returns the first time at which the content was not in force. */
  async findGap(until: number): Promise<number | undefined> {
    while (this.clock.now() < until) {
      await this.clock.runUntil(Math.min(until, this.clock.now() + sampleMs));
      if (!this.isInForce) return this.clock.now();
    }
    return undefined;
  }

  private createChange(value: object | undefined, revision: number): StoreChange {
    return { key: this.content.key, value: value && JSON.stringify(value), revision };
  }

  private createStore(): StoreFeed {
    const { clock } = this;
    return {
      snapshot: async () => {
        await clock.sleep(latencyMs);
        const { key, value, revision } = this.change;
        const values = value === undefined ? [] : [{ key, value, revision }];
        return { values, revision, epoch: this.epoch };
      },
      changes: async (_prefix, after, waitMs, signal) => {
        const endAt = clock.now() + waitMs;
        const hasNews = (): boolean =>
          after.epoch !== this.epoch || this.change.revision > after.revision;
        while (!hasNews() && clock.now() < endAt) await clock.sleep(latencyMs, signal);
        if (after.epoch !== this.epoch) throw new HistoryLost('The store was restored.');
        const changes = this.change.revision > after.revision ? [this.change] : [];
        const revision = Math.max(after.revision, this.change.revision);
        return { changes, revision, epoch: this.epoch };
      },
    };
  }
}
