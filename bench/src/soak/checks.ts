import { RequestOutcome, SoakRule } from './history.js';
import type { SentRequest, SoakHistory } from './history.js';
import { SoakBounds, isIdempotent } from './shape.js';

/** Checks that non-idempotent requests ran at most once, and rejected ones never. */
function checkRuns(history: SoakHistory): void {
  history.runs.forEach((runs, id) => {
    const request = history.requests.get(id);
    if (!request || isIdempotent(request.route)) return;
    const label = `${request.route.name} ${id} at ${request.entry}`;
    if (runs.length > 1) {
      history.recordViolation(SoakRule.atMostOnce, `${label} ran at ${runs.join(', ')}`);
    }
    if (history.outcomes.get(id) === RequestOutcome.refused) {
      history.recordViolation(SoakRule.refusal, `${label} was refused as not run and ran`);
    }
  });
}

function countWithin(times: readonly number[], from: number, until: number): number {
  return times.filter((at) => at > from && at <= until).length;
}

/** Checks that the retries of a service stay within the budget in every window. */
function checkBudget(history: SoakHistory, service: string): void {
  const { retryRatio, retryAllowance, retryWindowMs } = SoakBounds;
  const retries = history.arrivals.filter((each) => each.service === service && each.isRetry);
  const retryTimes = retries.map(({ arrivedAt }) => arrivedAt);
  const sentTimes = [...history.requests.values()]
    .filter(({ route }) => route.service === service)
    .map(({ sentAt }) => sentAt);
  const excesses = retryTimes
    .map((until) => {
      const maxSent = Math.max(
        ...[0, 0.5, 1].map((back) => {
          const end = until - back * retryWindowMs;
          return countWithin(sentTimes, end - retryWindowMs, end);
        }),
      );
      const count = countWithin(retryTimes, until - retryWindowMs, until);
      return { until, count, bound: maxSent * retryRatio + retryAllowance };
    })
    .filter(({ count, bound }) => count > bound)
    .sort((left, right) => right.count - right.bound - (left.count - left.bound));
  const [worst] = excesses;
  if (!worst) return;
  const atMs = Math.round(worst.until);
  const text = `${service}: ${worst.count} retries in the window up to ${atMs} ms, ${worst.bound} allowed`;
  history.recordViolation(SoakRule.budget, text);
}

/** Checks the rules that need the complete history. */
export function checkHistory(history: SoakHistory, services: readonly string[]): void {
  checkRuns(history);
  services.forEach((service) => checkBudget(history, service));
}

/** A request as an endpoint received it. */
export interface ReceivedRequest {
  readonly path: string;
  readonly body: string;
  readonly workspace: string | undefined;
  readonly timeLeftMs: number;
  readonly hasKey: boolean;
}

/** Checks that a request was forwarded as its caller sent it. */
export function checkReceived(
  history: SoakHistory,
  id: string,
  sent: SentRequest | undefined,
  received: ReceivedRequest,
): void {
  const faults: Readonly<Record<string, boolean>> = {
    'was sent by no caller': sent === undefined,
    'has another path': sent?.path !== received.path,
    'has another body': sent?.body !== received.body,
    'has the wrong workspace': received.workspace !== 'small',
    'carries the key': received.hasKey,
    'has more time than its caller gave': !(received.timeLeftMs <= (sent?.deadlineMs ?? 0)),
  };
  Object.entries(faults)
    .filter(([, isViolated]) => isViolated)
    .forEach(([description]) => history.recordViolation(SoakRule.asked, `${id} ${description}`));
}
