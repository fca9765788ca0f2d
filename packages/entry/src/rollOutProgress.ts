import { NotFound } from '@laburnumstream/common';
import { estimateTimeLeftMs } from '@laburnumstream/decisions';
import type { Configuration, Release } from '@laburnumstream/decisions';
import type { LiveMember } from './memberDirectory.js';

/** Progress of a roll-out in one data centre. */
interface DataCentreProgress {
  readonly endpoints: number;
  readonly done: number;
}

/** Progress of a roll-out as shown to operators. */
export interface RollOutProgress extends Release {
  readonly model: string;
  /** Number of endpoints of services that use the model or adapter. */
  readonly endpoints: number;
  /** Number of those that serve the new version. */
  readonly done: number;
  readonly dataCentres: Readonly<Record<string, DataCentreProgress>>;
  /** Estimate, in milliseconds; absent before the first endpoint is done. */
  readonly timeLeftMs?: number;
}

function countServing(members: readonly LiveMember[], digest: string): DataCentreProgress {
  const done = members.filter(({ serving }) => serving.includes(digest)).length;
  return { endpoints: members.length, done };
}

/** Computes the progress of the roll-out of a model or adapter; throws `NotFound`. */
export function computeRollOutProgress(
  { releases, services }: Configuration,
  members: readonly LiveMember[],
  model: string,
  wallMs: number,
): RollOutProgress {
  const release = releases[model];
  if (!release) throw new NotFound(`There is no roll-out of ${model}.`);
  const serviceNames = Object.entries(services)
    .filter(([, service]) => service.model === model || service.adapters?.includes(model))
    .map(([name]) => name);
  const affected = members.filter(({ service }) => serviceNames.includes(service));
  const names = [...new Set(affected.map(({ dataCentre }) => dataCentre))].sort();
  const dataCentres = names.map((name) => {
    const local = affected.filter(({ dataCentre }) => dataCentre === name);
    return [name, countServing(local, release.digest)] as const;
  });
  const { endpoints, done } = countServing(affected, release.digest);
  const remainingMs = estimateTimeLeftMs(done, endpoints, release.startedAt, wallMs);
  return {
    model,
    ...release,
    endpoints,
    done,
    dataCentres: Object.fromEntries(dataCentres),
    ...(remainingMs === undefined ? {} : { timeLeftMs: Math.round(remainingMs) }),
  };
}
