/** Tokens that each new request adds. */
const retryRatio = 0.1;
/** Bucket capacity of a workspace: enough for the requests of one lost endpoint. */
const workspaceCapacity = 64;
const overallCapacity = 256;
/** Tokens above which a workspace may retry although the overall bucket is empty. */
const ownReserve = workspaceCapacity / 2;

/**
 * Limits retries to a share of new requests with token buckets, one per workspace and one overall, so
 * that retries never amplify an overload and one workspace can't use up another's budget.
 */
export class RetryBudget {
  private readonly tokens = new Map<string, number>();

  private overallTokens = overallCapacity;

  /** Adds the tokens of a workspace's new request. */
  recordRequest(workspace: string): void {
    const tokens = this.tokens.get(workspace) ?? workspaceCapacity;
    this.tokens.set(workspace, Math.min(workspaceCapacity, tokens + retryRatio));
    this.overallTokens = Math.min(overallCapacity, this.overallTokens + retryRatio);
  }

  /** Takes a token for one retry; returns false when the budget is exhausted. */
  tryAcquire(workspace: string): boolean {
    const tokens = this.tokens.get(workspace) ?? workspaceCapacity;
    if (tokens < 1 || (this.overallTokens < 1 && tokens <= ownReserve)) return false;
    this.tokens.set(workspace, tokens - 1);
    this.overallTokens = Math.max(0, this.overallTokens - 1);
    return true;
  }
}
