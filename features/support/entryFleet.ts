import type { Random } from '@laburnumstream/common';
import { EntryCount } from '@laburnumstream/decisions';

/** A fault of one entry, or of all of them. */
export interface EntryFault {
  /** Whether processes die and start again, or lose the store. */
  readonly kind: 'kill' | 'cut';
  readonly atMs: number;
  /** The entry that it strikes; undefined for all. */
  readonly entry: number | undefined;
  readonly forMs: number;
}

/** Length of the leases of registrations, as entries ask for it. */
const leaseMs = 9_000;
const renewMs = leaseMs / 3;
const pollMs = 250;

interface Process<Member> {
  readonly member: Member;
  readonly count: EntryCount;
  nextPollAt: number;
  nextRenewalAt: number;
}

/** Entries in virtual time that register in a store, learn their number from it, die and are cut off. */
export class EntryFleet<Member> {
  private readonly processes: (Process<Member> | undefined)[];

  private readonly downUntil: number[];

  private readonly cutUntil: number[];

  /** Ends of the leases by entry. */
  private readonly leases = new Map<number, number>();

  constructor(
    size: number,
    private readonly faults: readonly EntryFault[],
    private readonly random: Random,
    private readonly createCount: () => EntryCount,
    /** Creates what an entry's process keeps; it knows how many entries there are. */
    private readonly createMember: (count: EntryCount) => Member,
  ) {
    this.processes = Array.from({ length: size }, () => undefined);
    this.downUntil = Array.from({ length: size }, () => 0);
    this.cutUntil = Array.from({ length: size }, () => 0);
  }

  /** What the processes keep that are at work. */
  get members(): Member[] {
    return this.processes.flatMap((process) => (process ? [process.member] : []));
  }

  /** Does what is due between the step before and `now`. */
  step(now: number, stepMs: number): void {
    this.faults
      .filter(({ atMs }) => atMs <= now && atMs > now - stepMs)
      .forEach((fault) => this.strike(fault, now));
    this.leases.forEach((endsAt, entry) => endsAt <= now && this.leases.delete(entry));
    this.processes.forEach((_, entry) => this.turn(entry, now));
  }

  private strike({ kind, entry, forMs }: EntryFault, now: number): void {
    this.processes.forEach((_, index) => {
      if (entry !== undefined && entry % this.processes.length !== index) return;
      if (kind === 'cut') this.cutUntil[index] = now + forMs;
      else {
        this.processes[index] = undefined;
        this.downUntil[index] = now + forMs + this.random.next() * pollMs;
      }
    });
  }

  private turn(entry: number, now: number): void {
    if (now < this.downUntil[entry]!) return;
    this.processes[entry] ??= this.start(now);
    if (now < this.cutUntil[entry]!) return;
    const process = this.processes[entry];
    if (now >= process.nextRenewalAt) {
      this.leases.set(entry, now + leaseMs);
      process.nextRenewalAt = now + renewMs;
    }
    if (now < process.nextPollAt) return;
    process.count.update(this.leases.size, this.leases.has(entry), now);
    process.nextPollAt = now + pollMs;
  }

  private start(now: number): Process<Member> {
    const count = this.createCount();
    return {
      member: this.createMember(count),
      count,
      nextPollAt: now + this.random.next() * pollMs,
      nextRenewalAt: now + this.random.next() * pollMs,
    };
  }
}
