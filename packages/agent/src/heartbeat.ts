import { toFailure } from '@laburnumstream/common';
import type { Clock, Instance, Log } from '@laburnumstream/common';
import { IncarnationStatus, chooseObservers, checkIncarnation } from '@laburnumstream/decisions';
import type { Peer } from '@laburnumstream/decisions';
import { createClient } from '@laburnumstream/links';
import type { LinkPool, MessageInitShape } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';
import type { MemberSchema } from '@laburnumstream/protocol';
import type { ConfigurationFollower } from './configurationFollower.js';

/** Returns the member's own description without `incarnation` and `beat`. */
export type DescribeSelf = () => MessageInitShape<typeof MemberSchema>;

const timeoutMs = 1_000;
/** Time during which an entry is avoided after a failed heartbeat, in milliseconds. */
const failureBackoffMs = 10_000;

/** Sends heartbeats to a few entries in turn and fetches newer configurations from them. */
export class Heartbeat {
  private incarnation: number;

  private isAccepted = false;

  private beatCount = 0;

  private readonly failedAt = new Map<string, number>();

  constructor(
    private readonly links: LinkPool,
    private readonly self: Peer,
    private readonly entries: () => readonly Instance[],
    private readonly describeSelf: DescribeSelf,
    private readonly follower: ConfigurationFollower,
    /** Called when another process registered with a newer incarnation of this member. */
    private readonly onSuperseded: () => void,
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly observerCount: number,
    private readonly log: Log,
  ) {
    this.incarnation = clock.wall();
  }

  /** Sends each observer one heartbeat per interval, evenly spread, until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    for (let turn = 0; !signal.aborted; turn += 1) {
      const observers = this.chooseEntries();
      const entry = observers[turn % Math.max(1, observers.length)];
      if (entry) void this.send(entry, signal);
      const pauseMs = this.intervalMs / Math.max(1, observers.length);
      await this.clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  /** Sends a heartbeat to all observers at once; resolves with the number of responses. */
  async sendToAll(signal: AbortSignal): Promise<number> {
    const results = await Promise.all(
      this.chooseEntries().map((entry) => this.send(entry, signal)),
    );
    return results.filter(Boolean).length;
  }

  /** Chooses the observers, preferably among entries without a recent failure. */
  private chooseEntries(): Peer[] {
    const now = this.clock.now();
    const all = this.entries();
    const responsive = all.filter(
      ({ name }) => now - (this.failedAt.get(name) ?? -Infinity) > failureBackoffMs,
    );
    return chooseObservers(this.self, responsive.length > 0 ? responsive : all, this.observerCount);
  }

  private async send(entry: Peer, signal: AbortSignal): Promise<boolean> {
    try {
      this.beatCount += 1;
      const client = createClient(EntryService, this.links.transportTo(entry.address));
      const { incarnation } = this;
      const beat = BigInt(this.beatCount);
      const member = { ...this.describeSelf(), incarnation: BigInt(incarnation), beat };
      const configurationRevision = BigInt(this.follower.configuration.revision);
      const request = { member, configurationRevision };
      const response = await client.beat(request, { signal, timeoutMs });
      this.failedAt.delete(entry.name);
      this.checkIncarnation(incarnation, Number(response.knownIncarnation));
      await this.follower.syncIfNewer(entry, response.configurationRevision, signal);
      return true;
    } catch (error) {
      if (!signal.aborted) this.recordFailure(entry, error);
      return false;
    }
  }

  private recordFailure(entry: Peer, error: unknown): void {
    this.failedAt.set(entry.name, this.clock.now());
    // The connection may be dead without an error: the next heartbeat opens a new one.
    this.links.replace(entry.address);
    this.log.debug('Heartbeat failed.', { entry: entry.name, type: toFailure(error).type });
  }

  private checkIncarnation(own: number, known: number): void {
    const verdict = checkIncarnation(own, known, this.isAccepted);
    if (verdict === IncarnationStatus.current) this.isAccepted = true;
    if (verdict === IncarnationStatus.raise) this.incarnation = known + 1;
    if (verdict === IncarnationStatus.superseded) this.onSuperseded();
  }
}
