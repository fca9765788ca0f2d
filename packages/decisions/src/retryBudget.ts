/** Retries that a fresh request earns. */
const retriesPerRequest = 0.1;
/** Most retries saved by one workspace: enough for the requests of one lost endpoint. */
const mostOfWorkspace = 64;
const mostOfAll = 256;
/** Savings above which a workspace may retry although others have used up the overall budget. */
const ownSavings = mostOfWorkspace / 2;

/**
 * Bounds retries to a share of fresh requests, for each workspace and overall, so that retries never
 * amplify an overload and one workspace's retries do not use up another's.
 */
export class RetryBudget {
  private readonly saved = new Map<string, number>();

  private savedOfAll = mostOfAll;

  /** A fresh request of a workspace earns a part of a retry. */
  recordRequest(workspace: string): void {
    const saved = this.saved.get(workspace) ?? mostOfWorkspace;
    this.saved.set(workspace, Math.min(mostOfWorkspace, saved + retriesPerRequest));
    this.savedOfAll = Math.min(mostOfAll, this.savedOfAll + retriesPerRequest);
  }

  /** Takes one retry; returns whether the budget had it. */
  tryAcquire(workspace: string): boolean {
    const saved = this.saved.get(workspace) ?? mostOfWorkspace;
    if (saved < 1 || (this.savedOfAll < 1 && saved <= ownSavings)) return false;
    this.saved.set(workspace, saved - 1);
    this.savedOfAll = Math.max(0, this.savedOfAll - 1);
    return true;
  }
}
