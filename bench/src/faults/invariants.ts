import { computeToken } from '@laburnumstream/standins';
import type { EngineRun } from '@laburnumstream/standins';
import type { CompletionRecord, FaultHistory } from './faultHistory.js';

/** What the stand-ins saw. */
export interface Observed {
  /** Runs at the plain endpoints: the bodies. */
  readonly orderRuns: readonly string[];
  /** Content digests of all versions ever published. */
  readonly contents: readonly string[];
  /** Runs at the engines by data centre. */
  readonly engineRuns: readonly { readonly dataCentre: string; readonly run: EngineRun }[];
  /** Most requests that a cold engine had, over what it bears. */
  readonly coldOverload: number;
  /** Versions that engines serve at the end. */
  readonly serving: readonly string[];
}

/** A broken invariant. */
export interface Break {
  readonly invariant: string;
  readonly detail: string;
}

type Invariant = (history: FaultHistory, observed: Observed) => string[];

function matches(record: CompletionRecord, content: string): boolean {
  return record.tokens.every((text, index) => text === computeToken(content, record.prompt, index));
}

function wholeAnswers({ completions }: FaultHistory): string[] {
  return completions
    .filter(({ ended, tokens, maxTokens }) => ended && tokens.length !== maxTokens)
    .map(({ prompt, tokens }) => `${prompt} ended as whole with ${tokens.length} tokens`);
}

function oneVersion({ completions }: FaultHistory, { contents }: Observed): string[] {
  return completions
    .filter((record) => !contents.some((content) => matches(record, content)))
    .map(({ prompt }) => `${prompt} was not answered by one whole version`);
}

function atMostOnce({ orders }: FaultHistory, { orderRuns }: Observed): string[] {
  const bodies = [...new Set(orders.map(({ body }) => body))];
  return bodies
    .filter((body) => orderRuns.filter((run) => run === body).length > 1)
    .map((body) => `${body} ran more than once`);
}

function trueRefusals({ orders }: FaultHistory, { orderRuns }: Observed): string[] {
  const keys = [...new Set(orders.map(({ key }) => key))];
  return keys
    .filter((key) => {
      const tries = orders.filter((order) => order.key === key);
      return tries.every(({ execution }) => execution === 'not run');
    })
    .filter((key) => orderRuns.some((run) => run === JSON.stringify({ key })))
    .map((key) => `${key} was refused as not run but ran`);
}

function sameAnswer({ orders }: FaultHistory): string[] {
  const answered = orders.filter(({ status }) => status === 200);
  return answered
    .filter(({ body, answer }) => !answer.includes(JSON.stringify(body).slice(1, -1)))
    .map(({ key, answer }) => `${key} got the answer ${answer}`);
}

function monotonicRevisions({ revisions }: FaultHistory): string[] {
  const last = new Map<string, number>();
  return revisions.flatMap(({ process, start, revision }) => {
    const key = `${process}/${start}`;
    const before = last.get(key) ?? 0;
    last.set(key, Math.max(before, revision));
    return revision < before ? [`${process} went from ${before} back to ${revision}`] : [];
  });
}

function nothingWhileOut({ outings }: FaultHistory, { engineRuns }: Observed): string[] {
  return outings.flatMap(({ dataCentre, from, until }) =>
    engineRuns
      .filter((each) => each.dataCentre === dataCentre)
      .filter(({ run }) => run.resumeFrom === 0 && run.startedAt > from && run.startedAt < until)
      .map(({ run }) => `${run.id} began in ${dataCentre} while it was out`),
  );
}

function bearableWhenCold(_history: FaultHistory, { coldOverload }: Observed): string[] {
  return coldOverload > 0 ? [`a cold engine had ${coldOverload} requests too many`] : [];
}

function oneVersionAtEnd(_history: FaultHistory, { serving }: Observed): string[] {
  return new Set(serving).size > 1 ? [`${new Set(serving).size} versions serve at the end`] : [];
}

const invariants: Readonly<Record<string, Invariant>> = {
  wholeAnswers,
  oneVersion,
  atMostOnce,
  trueRefusals,
  sameAnswer,
  monotonicRevisions,
  nothingWhileOut,
  bearableWhenCold,
  oneVersionAtEnd,
};

/** Checks all invariants over a history. */
export function findBreaks(history: FaultHistory, observed: Observed): Break[] {
  return Object.entries(invariants).flatMap(([invariant, check]) =>
    check(history, observed).map((detail) => ({ invariant, detail })),
  );
}
