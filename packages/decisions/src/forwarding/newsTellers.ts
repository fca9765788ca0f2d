import { rendezvousOrder } from '@laburnumstream/common';

/**
 * Which entries tell an agent regularly, out of all that could: a few, dealt out by rendezvous, so that
 * what an agent hears does not grow with the entries. Entries that know the same list agree.
 */
export class NotifierSelection {
  private entries: readonly string[] = [];

  /** Rank of the own entry for each agent that was asked for; -1 while it is not in the list. */
  private readonly ranks = new Map<string, number>();

  constructor(
    /** Name of the own entry. */
    private readonly own: string,
  ) {}

  /** Takes the names of the entries that tell the same agents. */
  setEntries(entries: readonly string[]): void {
    this.entries = entries;
    this.ranks.clear();
  }

  /** Whether the own entry is among the `most` that tell an agent. */
  isSelected(agent: string, most: number): boolean {
    let rank = this.ranks.get(agent);
    if (rank === undefined) {
      rank = rendezvousOrder(agent, this.entries, (name) => name).indexOf(this.own);
      this.ranks.set(agent, rank);
    }
    return rank >= 0 && rank < most;
  }
}
