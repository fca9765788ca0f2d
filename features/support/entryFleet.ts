import type { Random } from '@laburnumstream/common';
import { EntryCount } from '@laburnumstream/decisions';

/** A fault injected into one entry, or into all of them. */
export interface EntryFault {
  /** `kill`: the processes restart after `forMs`. `cut`: they can't reach the store for `forMs`. */
  readonly kind: 'kill' | 'cut';
  readonly atMs: number;
  /** Index of the affected entry, modulo the fleet's size; undefined for all. */
  readonly entry: number | undefined;
  readonly forMs: number;
}

/** Time to live of the leases that entries request for their registrations. */
const leaseMs = 9_000;
const renewMs = leaseMs / 3;
const pollMs = 250;

interface Process<State> {
  readonly state: State;
  readonly count: EntryCount;
  nextPollAt: number;
  nextRenewalAt: number;
}

/**
 * Simulates entries in virtual time that register in a store, learn the number of entries from it,
 * restart and lose the store. Each running process owns a `State`, which a restart discards.
 */
export class EntryFleet<State> {
  private readonly processes: (Process<State> | undefined)[];

  private readonly downUntil: number[];

  private readonly disconnectedUntil: number[];

  /** Expiry of the leases, by entry. */
  private readonly leases = new Map<number, number>();

  constructor(
    size: number,
    private readonly faults: readonly EntryFault[],
    private readonly random: Random,
    private readonly createCount: () => EntryCount,
    /** Creates the state of a new process, which can read the number of entries from `count`. */
    private readonly createState: (count: EntryCount) => State,
  ) {
    this.processes = Array.from({ length: size }, () => undefined);
    this.downUntil = Array.from({ length: size }, () => 0);
    this.disconnectedUntil = Array.from({ length: size }, () => 0);
  }

  /** The states of the running processes. */
  get states(): State[] {
    return this.processes.flatMap((process) => (process ? [process.state] : []));
  }

  /** Advances the simulation from `now - stepMs` to `now`. */
  step(now: number, stepMs: number): void {
    this.faults
      .filter(({ atMs }) => atMs <= now && atMs > now - stepMs)
      .forEach((fault) => this.applyFault(fault, now));
    this.leases.forEach((endsAt, entry) => endsAt <= now && this.leases.delete(entry));
    this.processes.forEach((_, entry) => this.stepEntry(entry, now));
  }

  private applyFault({ kind, entry, forMs }: EntryFault, now: number): void {
    this.processes.forEach((_, index) => {
      if (entry !== undefined && entry % this.processes.length !== index) return;
      if (kind === 'cut') this.disconnectedUntil[index] = now + forMs;
      else {
        this.processes[index] = undefined;
        this.downUntil[index] = now + forMs + this.random.next() * pollMs;
      }
    });
  }

  private stepEntry(entry: number, now: number): void {
    if (now < this.downUntil[entry]!) return;
    this.processes[entry] ??= this.start(now);
    if (now < this.disconnectedUntil[entry]!) return;
    const process = this.processes[entry];
    if (now >= process.nextRenewalAt) {
      this.leases.set(entry, now + leaseMs);
      process.nextRenewalAt = now + renewMs;
    }
    if (now < process.nextPollAt) return;
    process.count.update(this.leases.size, this.leases.has(entry), now);
    process.nextPollAt = now + pollMs;
  }

  private start(now: number): Process<State> {
    const count = this.createCount();
    return {
      state: this.createState(count),
      count,
      nextPollAt: now + this.random.next() * pollMs,
      nextRenewalAt: now + this.random.next() * pollMs,
    };
  }
}
