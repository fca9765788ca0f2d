/** How often a request of a history may be executed and sent. */
export const RequestKind = {
  /** Non-idempotent with an idempotency key; may be retried. */
  keyed: 'keyed',
  /** Non-idempotent without a key; sent only once. */
  unkeyed: 'unkeyed',
  idempotent: 'idempotent',
} as const;

/** One of the values of {@link RequestKind}. */
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** One event of a history. */
export type HistoryEvent =
  | {
      readonly kind: 'invoke';
      readonly request: string;
      readonly copy: string;
      readonly at: number;
    }
  | { readonly kind: 'run'; readonly request: string; readonly at: number }
  | {
      readonly kind: 'reply';
      readonly request: string;
      readonly copy: string;
      readonly body: string;
      readonly at: number;
    }
  | {
      readonly kind: 'refuse';
      readonly request: string;
      readonly copy: string;
      readonly type: string;
      readonly execution: string;
      readonly at: number;
    };

/** All events of one request. */
export interface RequestHistory {
  readonly request: string;
  readonly kind: RequestKind;
  readonly events: readonly HistoryEvent[];
}

/** Results of checking a history. */
export interface Verdicts {
  readonly mostRuns: number;
  readonly falseNotRun: number;
  readonly lostOrCrossed: number;
  /** Answered requests and all requests, by kind. */
  readonly answered: Readonly<Record<RequestKind, number>>;
  readonly requests: Readonly<Record<RequestKind, number>>;
}

function filterEvents<Kind extends HistoryEvent['kind']>(
  { events }: RequestHistory,
  kind: Kind,
): Extract<HistoryEvent, { kind: Kind }>[] {
  return events.filter((event) => event.kind === kind) as never;
}

/** Counts the runs of a non-idempotent request; 0 for idempotent ones, which may run repeatedly. */
function countNonIdempotentRuns(history: RequestHistory): number {
  return history.kind === RequestKind.idempotent ? 0 : filterEvents(history, 'run').length;
}

/**
 * Counts refusals marked `not run` that are false: the request had run already, or it ran later
 * although no other copy was outstanding.
 */
function countFalseRefusals(history: RequestHistory): number {
  const runs = filterEvents(history, 'run');
  const invocations = filterEvents(history, 'invoke');
  const ends = [...filterEvents(history, 'reply'), ...filterEvents(history, 'refuse')];
  const endTime = (copy: string): number =>
    ends.find((event) => event.copy === copy)?.at ?? Number.POSITIVE_INFINITY;
  return filterEvents(history, 'refuse').filter(({ execution, copy, at }) => {
    if (execution !== 'not run') return false;
    const hasOtherCopy = invocations.some(
      (invocation) => invocation.copy !== copy && endTime(invocation.copy) > at,
    );
    return runs.some((run) => run.at < at || !hasOtherCopy);
  }).length;
}

/** Counts replies with another body than the request's own, and copies without any outcome. */
function lostOrCrossed(history: RequestHistory): number {
  const replies = filterEvents(history, 'reply');
  const ended = new Set([...replies, ...filterEvents(history, 'refuse')].map(({ copy }) => copy));
  const lost = filterEvents(history, 'invoke').filter(({ copy }) => !ended.has(copy)).length;
  const expected = `done ${history.request}`;
  return lost + replies.filter(({ body }) => body !== expected).length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function countByKind(histories: readonly RequestHistory[]): Record<RequestKind, number> {
  const count = (kind: RequestKind) => histories.filter((history) => history.kind === kind).length;
  return {
    keyed: count(RequestKind.keyed),
    unkeyed: count(RequestKind.unkeyed),
    idempotent: count(RequestKind.idempotent),
  };
}

/** Checks the histories of all requests of one run. */
export function checkHistories(histories: readonly RequestHistory[]): Verdicts {
  return {
    mostRuns: Math.max(0, ...histories.map(countNonIdempotentRuns)),
    falseNotRun: sum(histories.map(countFalseRefusals)),
    lostOrCrossed: sum(histories.map(lostOrCrossed)),
    answered: countByKind(histories.filter((each) => filterEvents(each, 'reply').length > 0)),
    requests: countByKind(histories),
  };
}
