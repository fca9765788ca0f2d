import type { Random } from '@laburnumstream/common';

/** A kind of request, as the users' sheets describe it. */
export interface HeavyKind {
  readonly name: string;
  readonly perSecond: number;
  readonly meanPromptTokens: number;
  readonly meanEvents: number;
  /** Credit of a request of mean size. */
  readonly worth: number;
  readonly goalMs: number;
}

/** A caller's request. */
export interface HeavyRequest {
  readonly id: string;
  readonly kind: HeavyKind;
  readonly workspace: string;
  /** Monotonic time, in milliseconds. */
  readonly arrivesAt: number;
  readonly promptTokens: number;
  readonly events: number;
  /** Credit when it is in time. */
  readonly credit: number;
}

/** The kinds of streams that both sheets list. */
export const heavyKinds: readonly HeavyKind[] = [
  {
    name: 'long',
    perSecond: 39.4,
    meanPromptTokens: 1_290,
    meanEvents: 20.6,
    worth: 2.4,
    goalMs: 400,
  },
  {
    name: 'middle',
    perSecond: 28.4,
    meanPromptTokens: 787,
    meanEvents: 20.6,
    worth: 2.1,
    goalMs: 400,
  },
  {
    name: 'short',
    perSecond: 30.5,
    meanPromptTokens: 607,
    meanEvents: 11.6,
    worth: 1.4,
    goalMs: 300,
  },
];

const secondMs = 1_000;
const workspaces = 10;
/** Spread of prompts and of answers, as the standard deviation of their logarithms. */
const spread = { prompt: 0.9, answer: 0.75 } as const;
const most = { promptFactor: 3.5, events: 51 } as const;
const eventTokens = 6;
/** Parts of a request's credit that do and do not depend on its size. */
const creditParts = { fixed: 0.3, sized: 0.7 } as const;
const answerTokenWeight = 10;

/** A positive number with a mean of 1, by the logarithmic normal distribution. */
function lognormal(random: Random, deviation: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.exp(normal * deviation - deviation ** 2 / 2);
}

function requestOf(kind: HeavyKind, id: string, arrivesAt: number, random: Random): HeavyRequest {
  const promptFactor = Math.min(most.promptFactor, lognormal(random, spread.prompt));
  const promptTokens = Math.max(60, Math.round(kind.meanPromptTokens * promptFactor));
  const drawn = Math.round(kind.meanEvents * lognormal(random, spread.answer));
  const events = Math.max(1, Math.min(most.events, drawn));
  const sizeOf = (prompt: number, count: number): number =>
    prompt + answerTokenWeight * eventTokens * count;
  const size = sizeOf(promptTokens, events) / sizeOf(kind.meanPromptTokens, kind.meanEvents);
  const credit = kind.worth * (creditParts.fixed + creditParts.sized * size);
  // Few workspaces send most requests.
  const workspace = `w${Math.floor(workspaces * random.next() ** 2.5)}`;
  return { id, kind, workspace, arrivesAt, promptTokens, events, credit };
}

/** Requests of all kinds over a time, in order of their arrival; `factor` times the sheet's rates. */
export function heavyLoad(factor: number, seconds: number, random: Random): HeavyRequest[] {
  const requests = heavyKinds.flatMap((kind) => {
    const found: HeavyRequest[] = [];
    const meanMs = secondMs / (kind.perSecond * factor);
    let at = 0;
    for (;;) {
      at -= Math.log(1 - random.next()) * meanMs;
      if (at >= seconds * secondMs) return found;
      found.push(requestOf(kind, `${kind.name}-${found.length}`, at, random));
    }
  });
  return requests.sort((a, b) => a.arrivesAt - b.arrivesAt);
}
