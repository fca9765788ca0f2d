import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import type { CrashFleet } from './crashFleet.js';

/** How callers send the repeated request. */
export interface RepetitionPace {
  readonly intervalMs: number;
  /** Copies that are sent at once, each to another entry. */
  readonly copies: number;
}

const otherIntervalMs = 200;
const maxTries = 200;

/** Sends one request without a body again and again, beside others of the same caller. */
export class RepeatedTraffic {
  /** Number of other requests, which differ from each other, and of those that were served. */
  readonly others = { sent: 0, served: 0 };

  private sent = 0;

  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly fleet: CrashFleet,
    private readonly name: string,
  ) {}

  /** Sends the request to one entry until it was served a number of times. */
  async serve(times: number): Promise<void> {
    const [entry] = this.fleet.entries;
    let served = 0;
    for (let tries = 0; served < times && tries < times + maxTries; tries += 1)
      if (await this.fleet.get(entry!, this.name)) served += 1;
    assert.equal(served, times, `served ${served} of ${times} times`);
  }

  /** Sends the request, and others, for some time. */
  async run(durationMs: number, { intervalMs, copies }: RepetitionPace): Promise<void> {
    const startedAt = performance.now();
    const repeat = async (): Promise<void> => {
      while (performance.now() - startedAt < durationMs) {
        for (let index = 0; index < copies; index += 1) this.send(this.name);
        await sleep(intervalMs);
      }
    };
    const sendOthers = async (): Promise<void> => {
      while (performance.now() - startedAt < durationMs) {
        this.sendOther();
        await sleep(otherIntervalMs);
      }
    };
    await Promise.all([repeat(), sendOthers()]);
    await Promise.all(this.pending);
  }

  /** Sends the request to each entry in turn; returns the share that was served. */
  async servedShare(requests: number): Promise<number> {
    let served = 0;
    for (let index = 0; index < requests; index += 1)
      if (await this.fleet.get(this.nextEntry(), this.name)) served += 1;
    return served / requests;
  }

  private nextEntry(): CrashFleet['entries'][number] {
    const { entries } = this.fleet;
    this.sent += 1;
    return entries[this.sent % entries.length]!;
  }

  private send(name: string): Promise<boolean> {
    const response = this.fleet.get(this.nextEntry(), name);
    const sending = response.then(() => {
      this.pending.delete(sending);
    });
    this.pending.add(sending);
    return response;
  }

  private sendOther(): void {
    this.others.sent += 1;
    void this.send(`other-${this.others.sent}`).then((isServed) => {
      if (isServed) this.others.served += 1;
    });
  }
}
