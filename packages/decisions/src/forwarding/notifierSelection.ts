import { rendezvousOrder } from '@laburnumstream/common';

/**
 * Selects the few entries that send regular updates to an agent, by rendezvous hashing, so that the
 * number of updates per agent doesn't grow with the number of entries. Entries with the same entry
 * list make the same selection.
 */
export class NotifierSelection {
  private entries: readonly string[] = [];

  /** Rank of this entry by agent, computed on demand; -1 while it is not in the list. */
  private readonly ranks = new Map<string, number>();

  constructor(
    /** Name of this entry. */
    private readonly self: string,
  ) {}

  /** Replaces the names of the entries to select from. */
  setEntries(entries: readonly string[]): void {
    this.entries = entries;
    this.ranks.clear();
  }

  /** Whether this entry is among the `count` entries selected for an agent. */
  isSelected(agent: string, count: number): boolean {
    let rank = this.ranks.get(agent);
    if (rank === undefined) {
      rank = rendezvousOrder(agent, this.entries, (name) => name).indexOf(this.self);
      this.ranks.set(agent, rank);
    }
    return rank >= 0 && rank < count;
  }
}
