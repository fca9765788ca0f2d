import { NotFound } from '@laburnumstream/common';
import { estimateTimeLeftMs } from '@laburnumstream/decisions';
import type { Configuration, Release } from '@laburnumstream/decisions';
import type { LiveMember } from './directory.js';

/** Progress of one data centre. */
interface CentreProgress {
  readonly endpoints: number;
  readonly done: number;
}

/** Progress of a roll-out for operators. */
export interface RollOutProgress extends Release {
  readonly model: string;
  readonly endpoints: number;
  readonly done: number;
  readonly dataCentres: Readonly<Record<string, CentreProgress>>;
  /** Absent before the first endpoint is done. */
  readonly timeLeftMs?: number;
}

function countOf(members: readonly LiveMember[], digest: string): CentreProgress {
  const done = members.filter(({ serving }) => serving.includes(digest)).length;
  return { endpoints: members.length, done };
}

/** How far the roll-out of a model or adapter is; throws `NotFound`. */
export function rollOutProgress(
  { releases, services }: Configuration,
  members: readonly LiveMember[],
  model: string,
  wallMs: number,
): RollOutProgress {
  const release = releases[model];
  if (!release) throw new NotFound(`There is no roll-out of ${model}.`);
  const users = Object.entries(services)
    .filter(([, service]) => service.model === model || service.adapters?.includes(model))
    .map(([name]) => name);
  const serving = members.filter(({ service }) => users.includes(service));
  const names = [...new Set(serving.map(({ dataCentre }) => dataCentre))].sort();
  const centres = names.map((name) => {
    const there = serving.filter(({ dataCentre }) => dataCentre === name);
    return [name, countOf(there, release.digest)] as const;
  });
  const { endpoints, done } = countOf(serving, release.digest);
  const left = estimateTimeLeftMs(done, endpoints, release.startedAt, wallMs);
  return {
    model,
    ...release,
    endpoints,
    done,
    dataCentres: Object.fromEntries(centres),
    ...(left === undefined ? {} : { timeLeftMs: Math.round(left) }),
  };
}
