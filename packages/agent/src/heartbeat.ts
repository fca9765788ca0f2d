import { toFailure } from '@laburnumstream/common';
import type { Clock, Instance, Log } from '@laburnumstream/common';
import { IncarnationStatus, chooseObservers, checkIncarnation } from '@laburnumstream/decisions';
import type { Peer } from '@laburnumstream/decisions';
import { createClient } from '@laburnumstream/links';
import type { LinkPool, MessageInitShape } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';
import type { MemberSchema } from '@laburnumstream/protocol';
import type { ConfigurationFollower } from './configurationFollower.js';

/** A member's description of itself, but for incarnation and beat. */
export type SelfReport = () => MessageInitShape<typeof MemberSchema>;

const answerMs = 1_000;
/** Time after which an entry that did not answer is tried again, in milliseconds. */
const failedMs = 10_000;

/** Sends heartbeats to a few entries in turn and takes newer configurations from them. */
export class Heartbeat {
  private incarnation: number;

  private accepted = false;

  private beats = 0;

  private readonly failedAt = new Map<string, number>();

  constructor(
    private readonly links: LinkPool,
    private readonly self: Peer,
    private readonly entries: () => readonly Instance[],
    private readonly report: SelfReport,
    private readonly follower: ConfigurationFollower,
    /** Another process has taken this member's place. */
    private readonly onSuperseded: () => void,
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly observers: number,
    private readonly log: Log,
  ) {
    this.incarnation = clock.wall();
  }

  /** Beats to one entry after the other, each once an interval, until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    for (let turn = 0; !signal.aborted; turn += 1) {
      const observers = this.choose();
      const entry = observers[turn % Math.max(1, observers.length)];
      if (entry) void this.beat(entry, signal);
      const pause = this.intervalMs / Math.max(1, observers.length);
      await this.clock.sleep(pause, signal).catch(() => undefined);
    }
  }

  /** Beats to all observers at once; resolves with the number that answered. */
  async beatAll(signal: AbortSignal): Promise<number> {
    const answered = await Promise.all(this.choose().map((entry) => this.beat(entry, signal)));
    return answered.filter(Boolean).length;
  }

  /** The own data centre's entries that answer, or others when none does. */
  private choose(): Peer[] {
    const now = this.clock.now();
    const all = this.entries();
    const answering = all.filter(
      ({ name }) => now - (this.failedAt.get(name) ?? -Infinity) > failedMs,
    );
    return chooseObservers(this.self, answering.length > 0 ? answering : all, this.observers);
  }

  private async beat(entry: Peer, signal: AbortSignal): Promise<boolean> {
    try {
      this.beats += 1;
      const client = createClient(EntryService, this.links.transportTo(entry.address));
      const { incarnation } = this;
      const beat = BigInt(this.beats);
      const member = { ...this.report(), incarnation: BigInt(incarnation), beat };
      const configurationRevision = BigInt(this.follower.configuration.revision);
      const request = { member, configurationRevision };
      const answer = await client.beat(request, { signal, timeoutMs: answerMs });
      this.failedAt.delete(entry.name);
      this.judge(incarnation, Number(answer.knownIncarnation));
      await this.follower.offer(entry, answer.configurationRevision, signal);
      return true;
    } catch (error) {
      if (!signal.aborted) this.fail(entry, error);
      return false;
    }
  }

  private fail(entry: Peer, error: unknown): void {
    this.failedAt.set(entry.name, this.clock.now());
    // The connection may have gone silent: the next heartbeat opens another.
    this.links.replace(entry.address);
    this.log.debug('Heartbeat failed.', { entry: entry.name, type: toFailure(error).type });
  }

  private judge(own: number, known: number): void {
    const verdict = checkIncarnation(own, known, this.accepted);
    if (verdict === IncarnationStatus.current) this.accepted = true;
    if (verdict === IncarnationStatus.raise) this.incarnation = known + 1;
    if (verdict === IncarnationStatus.superseded) this.onSuperseded();
  }
}
