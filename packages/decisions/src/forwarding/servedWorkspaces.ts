/** Decay of all workspaces' counts with each served request. */
const decay = 0.98;
/** Decayed count from which on a workspace counts as not served. */
const minCount = 0.01;
/** Weight of a served request from which on all sums are scaled down again. */
const maxWeight = 1e100;
/** Number of served requests after which workspaces that count as not served are forgotten. */
const pruneEvery = 1_024;

/**
 * Decaying count of served requests by workspace. Newer requests weigh more instead of older ones less, so that a
 * served request costs the same however many workspaces there are.
 */
export class ServedWorkspaces {
  private readonly sums = new Map<string, number>();

  private weight = 1;

  private records = 0;

  /** Records a served request of a workspace. */
  record(workspace: string): void {
    this.weight /= decay;
    this.sums.set(workspace, (this.sums.get(workspace) ?? 0) + this.weight);
    this.records += 1;
    if (this.weight > maxWeight || this.records % pruneEvery === 0) this.rescale();
  }

  /** Returns the decayed count of a workspace. */
  count(workspace: string): number {
    const count = (this.sums.get(workspace) ?? 0) / this.weight;
    return count < minCount ? 0 : count;
  }

  private rescale(): void {
    this.sums.forEach((sum, workspace) => {
      const count = sum / this.weight;
      if (count < minCount) this.sums.delete(workspace);
      else this.sums.set(workspace, count);
    });
    this.weight = 1;
  }
}
