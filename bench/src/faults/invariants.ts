import { computeToken } from '@laburnumstream/standins';
import type { EngineRun } from '@laburnumstream/standins';
import type { CompletionRecord, FaultHistory } from './faultHistory.js';

/** What the stand-ins observed. */
export interface Observations {
  /** Request bodies of the runs at the plain endpoints. */
  readonly orderRuns: readonly string[];
  /** Content digests of all versions ever published. */
  readonly contents: readonly string[];
  /** Runs at the engines, each with its data centre. */
  readonly engineRuns: readonly { readonly dataCentre: string; readonly run: EngineRun }[];
  /** Largest number of requests by which a cold engine exceeded its cold capacity. */
  readonly coldOverload: number;
  /** Versions that the engines serve at the end. */
  readonly serving: readonly string[];
}

/** A violation of an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

type Invariant = (history: FaultHistory, observed: Observations) => string[];

function matchesVersion(record: CompletionRecord, content: string): boolean {
  return record.tokens.every((text, index) => text === computeToken(content, record.prompt, index));
}

function wholeAnswers({ completions }: FaultHistory): string[] {
  return completions
    .filter(({ ended, tokens, maxTokens }) => ended && tokens.length !== maxTokens)
    .map(({ prompt, tokens }) => `${prompt} ended as complete with ${tokens.length} tokens`);
}

function oneVersion({ completions }: FaultHistory, { contents }: Observations): string[] {
  return completions
    .filter((record) => !contents.some((content) => matchesVersion(record, content)))
    .map(({ prompt }) => `${prompt} does not match the output of any single version`);
}

function atMostOnce({ orders }: FaultHistory, { orderRuns }: Observations): string[] {
  const bodies = [...new Set(orders.map(({ body }) => body))];
  return bodies
    .filter((body) => orderRuns.filter((run) => run === body).length > 1)
    .map((body) => `${body} ran more than once`);
}

function trueRefusals({ orders }: FaultHistory, { orderRuns }: Observations): string[] {
  const keys = [...new Set(orders.map(({ key }) => key))];
  return keys
    .filter((key) => {
      const attempts = orders.filter((order) => order.key === key);
      return attempts.every(({ execution }) => execution === 'not run');
    })
    .filter((key) => orderRuns.some((run) => run === JSON.stringify({ key })))
    .map((key) => `${key} was refused as not run but ran`);
}

function sameAnswer({ orders }: FaultHistory): string[] {
  const answered = orders.filter(({ status }) => status === 200);
  return answered
    .filter(({ body, response }) => !response.includes(JSON.stringify(body).slice(1, -1)))
    .map(({ key, response }) => `${key} got the response ${response}`);
}

function monotonicRevisions({ revisions }: FaultHistory): string[] {
  const last = new Map<string, number>();
  return revisions.flatMap(({ process, start, revision }) => {
    const key = `${process}/${start}`;
    const previous = last.get(key) ?? 0;
    last.set(key, Math.max(previous, revision));
    return revision < previous ? [`${process} went from ${previous} back to ${revision}`] : [];
  });
}

function nothingWhileOut({ takeOutPeriods }: FaultHistory, { engineRuns }: Observations): string[] {
  return takeOutPeriods.flatMap(({ dataCentre, from, until }) =>
    engineRuns
      .filter((each) => each.dataCentre === dataCentre)
      .filter(({ run }) => run.resumeFrom === 0 && run.startedAt > from && run.startedAt < until)
      .map(({ run }) => `${run.id} started in ${dataCentre} while it was taken out`),
  );
}

function bearableWhenCold(_history: FaultHistory, { coldOverload }: Observations): string[] {
  return coldOverload > 0
    ? [`a cold engine had ${coldOverload} requests over its cold capacity`]
    : [];
}

function oneVersionAtEnd(_history: FaultHistory, { serving }: Observations): string[] {
  return new Set(serving).size > 1
    ? [`${new Set(serving).size} versions are served at the end`]
    : [];
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

/** Checks all invariants against a history. */
export function findViolations(history: FaultHistory, observed: Observations): Violation[] {
  return Object.entries(invariants).flatMap(([invariant, check]) =>
    check(history, observed).map((detail) => ({ invariant, detail })),
  );
}
