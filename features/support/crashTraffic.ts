import { setTimeout as sleep } from 'node:timers/promises';
import type { CrashFleet } from './crashFleet.js';

/** A request that does not crash endpoints; `at` is the monotonic time at which it was sent. */
export interface SoundRequest {
  readonly at: number;
  readonly isServed: boolean;
  /** Whether its entry had been ready since it was started. */
  readonly isEntryReady: boolean;
}

/** What each caller sends, in requests per second over all entries. */
const rates = { sound: 20, crashing: 6 } as const;
/** Documents that sound requests share. */
const documentCount = 40;
const tickMs = 10;
const secondMs = 1_000;
/** First part of all prompts. */
const firstPart = 'a0';

/** How requests with a cause of crashes carry it. */
export const CauseKind = {
  /** As a part of a prompt that differs otherwise. */
  part: 'part',
  /** As the body of requests that are all the same. */
  body: 'body',
} as const;

/** A value of {@link CauseKind}. */
export type CauseKind = (typeof CauseKind)[keyof typeof CauseKind];

/** Sends sound and crashing requests to the entries of a fleet, in turn. */
export class CrashTraffic {
  readonly sound: SoundRequest[] = [];

  private cause: string | undefined;

  private sent = 0;

  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly fleet: CrashFleet,
    private readonly kind: CauseKind = CauseKind.part,
    /** Sound requests per second over all entries. */
    private readonly soundPerSecond: number = rates.sound,
  ) {}

  /** From now on, requests with this cause of crashes come too; undefined ends them. */
  setCause(cause: string | undefined): void {
    this.cause = cause;
    if (cause !== undefined) this.fleet.causes.add(cause);
  }

  /** Sends requests at a fixed rate for some time. */
  async run(durationMs: number): Promise<void> {
    const startedAt = performance.now();
    const counts = { sound: 0, crashing: 0 };
    let elapsed = 0;
    while (elapsed < durationMs) {
      for (; counts.sound < (elapsed / secondMs) * this.soundPerSecond; counts.sound += 1)
        this.sendSound();
      for (; counts.crashing < (elapsed / secondMs) * rates.crashing; counts.crashing += 1)
        this.sendCrashing();
      await sleep(tickMs);
      elapsed = performance.now() - startedAt;
    }
  }

  /** Waits for the responses to all requests. */
  async finish(): Promise<void> {
    await Promise.all(this.pending);
  }

  /**
   * Share of the sound requests sent between two times that were served whole at the first attempt; of
   * those sent to entries that had been ready since their start, as none can be served by one that starts.
   */
  servedShare(from: number, until: number): number {
    const sent = this.sound.filter(
      ({ at, isEntryReady }) => isEntryReady && at >= from && at < until,
    );
    return sent.filter(({ isServed }) => isServed).length / Math.max(1, sent.length);
  }

  private nextEntry(): CrashFleet['entries'][number] {
    const { entries } = this.fleet;
    return entries[this.sent % entries.length]!;
  }

  private sendSound(): void {
    const at = performance.now();
    const document = `d${(this.sent * 7) % documentCount}`;
    this.sent += 1;
    const parts = [firstPart, document, `own${this.sent}`];
    const entry = this.nextEntry();
    const isEntryReady = entry.isReady;
    const sending = this.fleet.send(entry, parts, `body ${this.sent}`).then((isServed) => {
      this.sound.push({ at, isServed, isEntryReady });
      this.pending.delete(sending);
    });
    this.pending.add(sending);
  }

  private sendCrashing(): void {
    const { cause } = this;
    if (cause === undefined) return;
    this.sent += 1;
    const document = `d${(this.sent * 7) % documentCount}`;
    const isPart = this.kind === CauseKind.part;
    const parts = isPart ? [firstPart, cause, document, `own${this.sent}`] : [firstPart, 'own'];
    const sending = this.fleet
      .send(this.nextEntry(), parts, isPart ? `body ${this.sent}` : cause)
      .then(() => {
        this.pending.delete(sending);
      });
    this.pending.add(sending);
  }
}
