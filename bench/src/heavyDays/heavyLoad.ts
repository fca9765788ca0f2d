import type { Random } from '@laburnumstream/common';

/** A class of requests, as the users' data sheets describe it. */
export interface HeavyKind {
  readonly name: string;
  readonly perSecond: number;
  readonly meanPromptTokens: number;
  readonly meanEvents: number;
  /** Credit of a request of mean size. */
  readonly meanCredit: number;
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
  /** Credit earned when the request is served in time. */
  readonly credit: number;
}

/** The kinds of streams in the data sheets of both users. */
export const heavyKinds: readonly HeavyKind[] = [
  {
    name: 'long',
    perSecond: 39.4,
    meanPromptTokens: 1_290,
    meanEvents: 20.6,
    meanCredit: 2.4,
    goalMs: 400,
  },
  {
    name: 'middle',
    perSecond: 28.4,
    meanPromptTokens: 787,
    meanEvents: 20.6,
    meanCredit: 2.1,
    goalMs: 400,
  },
  {
    name: 'short',
    perSecond: 30.5,
    meanPromptTokens: 607,
    meanEvents: 11.6,
    meanCredit: 1.4,
    goalMs: 300,
  },
];

const secondMs = 1_000;
const workspaces = 10;
/** Standard deviations of the logarithms of prompt and output lengths. */
const logDeviation = { prompt: 0.9, output: 0.75 } as const;
const limits = { promptFactor: 3.5, events: 51 } as const;
const eventTokens = 6;
/** Shares of a request's credit that are fixed and that scale with its size. */
const creditWeights = { fixed: 0.3, sized: 0.7 } as const;
const outputTokenWeight = 10;

/** Draws from the log-normal distribution with a mean of 1. */
function lognormal(random: Random, deviation: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.exp(normal * deviation - deviation ** 2 / 2);
}

function drawRequest(kind: HeavyKind, id: string, arrivesAt: number, random: Random): HeavyRequest {
  const promptFactor = Math.min(limits.promptFactor, lognormal(random, logDeviation.prompt));
  const promptTokens = Math.max(60, Math.round(kind.meanPromptTokens * promptFactor));
  const drawnEvents = Math.round(kind.meanEvents * lognormal(random, logDeviation.output));
  const events = Math.max(1, Math.min(limits.events, drawnEvents));
  const weightedSize = (prompt: number, count: number): number =>
    prompt + outputTokenWeight * eventTokens * count;
  const size =
    weightedSize(promptTokens, events) / weightedSize(kind.meanPromptTokens, kind.meanEvents);
  const credit = kind.meanCredit * (creditWeights.fixed + creditWeights.sized * size);
  // The exponent makes a few workspaces send most of the requests.
  const workspace = `w${Math.floor(workspaces * random.next() ** 2.5)}`;
  return { id, kind, workspace, arrivesAt, promptTokens, events, credit };
}

/** Draws Poisson arrivals of all kinds at `rateFactor` times their rates, sorted by arrival time. */
export function drawHeavyLoad(rateFactor: number, seconds: number, random: Random): HeavyRequest[] {
  const requests = heavyKinds.flatMap((kind) => {
    const drawn: HeavyRequest[] = [];
    const meanMs = secondMs / (kind.perSecond * rateFactor);
    let at = 0;
    for (;;) {
      at -= Math.log(1 - random.next()) * meanMs;
      if (at >= seconds * secondMs) return drawn;
      drawn.push(drawRequest(kind, `${kind.name}-${drawn.length}`, at, random));
    }
  });
  return requests.sort((a, b) => a.arrivesAt - b.arrivesAt);
}
