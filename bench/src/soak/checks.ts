import { RequestEnd, SoakRule } from './history.js';
import type { SentRequest, SoakHistory } from './history.js';
import { SoakBounds, isIdempotent } from './shape.js';

/** Non-idempotent requests ran at most once, and those that were refused never. */
function checkRuns(history: SoakHistory): void {
  history.runs.forEach((runs, id) => {
    const request = history.requests.get(id);
    if (!request || isIdempotent(request.route)) return;
    const told = `${request.route.name} ${id} at ${request.entry}`;
    if (runs.length > 1) history.violate(SoakRule.atMostOnce, `${told} ran at ${runs.join(', ')}`);
    if (history.ends.get(id) === RequestEnd.refused) {
      history.violate(SoakRule.refusal, `${told} was refused as not run and ran`);
    }
  });
}

function within(times: readonly number[], from: number, until: number): number {
  return times.filter((at) => at > from && at <= until).length;
}

/** Repeats of a service stay within the bound in every window. */
function checkBudget(history: SoakHistory, service: string): void {
  const { retryRatio, retrySlack, retryWindowMs } = SoakBounds;
  const repeats = history.arrivals.filter((each) => each.service === service && each.isRepeat);
  const times = repeats.map(({ at }) => at);
  const asked = [...history.requests.values()]
    .filter(({ route }) => route.service === service)
    .map(({ sentAt }) => sentAt);
  const worst = times
    .map((until) => {
      const most = Math.max(
        ...[0, 0.5, 1].map((back) => {
          const end = until - back * retryWindowMs;
          return within(asked, end - retryWindowMs, end);
        }),
      );
      const count = within(times, until - retryWindowMs, until);
      return { until, count, bound: most * retryRatio + retrySlack };
    })
    .filter(({ count, bound }) => count > bound)
    .sort((left, right) => right.count - right.bound - (left.count - left.bound));
  const [first] = worst;
  if (!first) return;
  const at = Math.round(first.until);
  const text = `${service}: ${first.count} repeats in the window up to ${at} ms, ${first.bound} allowed`;
  history.violate(SoakRule.budget, text);
}

/** Checks what only the whole history shows. */
export function checkHistory(history: SoakHistory, services: readonly string[]): void {
  checkRuns(history);
  services.forEach((service) => checkBudget(history, service));
}

/** What an endpoint was told with a request. */
export interface Received {
  readonly path: string;
  readonly body: string;
  readonly workspace: string | undefined;
  readonly timeLeftMs: number;
  readonly hasKey: boolean;
}

/** A request is handed on as its caller sent it. */
export function checkReceived(
  history: SoakHistory,
  id: string,
  sent: SentRequest | undefined,
  received: Received,
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
    .filter(([, isBroken]) => isBroken)
    .forEach(([what]) => history.violate(SoakRule.asked, `${id} ${what}`));
}
