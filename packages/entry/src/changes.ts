import { Conflict, InvalidInput, NotFound } from '@laburnumstream/common';
import { DataCentreState, mergePatch, rollBackRelease } from '@laburnumstream/decisions';
import type {
  Change,
  Configuration,
  DataCentre,
  PolicyException,
  Release,
  UnfitReport,
} from '@laburnumstream/decisions';

/** Who requests a change and why, and the wall-clock time of the request in milliseconds. */
export interface Attribution {
  readonly author: string;
  readonly reason: string;
  readonly at: number;
}

type JsonObject = Readonly<Record<string, unknown>>;

const editableSections = ['defaults', 'services', 'workspaces', 'operators', 'dataCentres'];

function validateSections(sections: JsonObject): void {
  const unknown = Object.keys(sections).filter((key) => !editableSections.includes(key));
  if (unknown.length > 0) {
    throw new InvalidInput(
      `${unknown.join(', ')}: expected only the parts ${editableSections.join(', ')}`,
    );
  }
  const invalid = Object.entries(sections).filter(
    ([, section]) => typeof section !== 'object' || section === null || Array.isArray(section),
  );
  if (invalid.length === 0) return;
  throw new InvalidInput(invalid.map(([key]) => `${key}: expected an object`).join('; '));
}

/** Applies a JSON merge patch (RFC 7396) to sections of the document; null removes an item. */
export function applyChange(attribution: Attribution, patch: JsonObject): Change {
  validateSections(patch);
  return {
    author: attribution.author,
    action: 'apply',
    reason: attribution.reason,
    apply: (before) => mergePatch(before, patch) as Configuration,
  };
}

/** Adds a policy exception; a written reason is required. */
export function addException(attribution: Attribution, fields: JsonObject): Change {
  const { expiresAt } = fields;
  if (typeof expiresAt === 'number' && expiresAt <= attribution.at) {
    throw new InvalidInput('expiresAt: expected a time in the future');
  }
  const exception = {
    scope: {},
    ...fields,
    reason: attribution.reason,
    author: attribution.author,
    createdAt: attribution.at,
  } as unknown as PolicyException;
  return {
    author: attribution.author,
    action: `add exception ${String(fields.id)}`,
    reason: attribution.reason,
    apply: (before) => {
      if (before.exceptions.some(({ id }) => id === exception.id)) {
        throw new Conflict(`There is an exception ${exception.id} already.`);
      }
      return { ...before, exceptions: [...before.exceptions, exception] };
    },
  };
}

/** Removes a policy exception. */
export function removeException(attribution: Attribution, id: string): Change {
  return {
    author: attribution.author,
    action: `remove exception ${id}`,
    reason: attribution.reason,
    apply: (before) => {
      const exceptions = before.exceptions.filter((known) => known.id !== id);
      if (exceptions.length === before.exceptions.length) {
        throw new NotFound(`There is no exception ${id}.`);
      }
      return { ...before, exceptions };
    },
  };
}

/** Takes a data centre out of service or returns it to service. */
export function setDataCentreState(
  attribution: Attribution,
  name: string,
  state: DataCentreState,
): Change {
  const dataCentre: DataCentre = { state, reason: attribution.reason, since: attribution.at };
  const action = state === DataCentreState.out ? 'take out' : 'return';
  return {
    author: attribution.author,
    action: `${action} ${name}`,
    reason: attribution.reason,
    apply: (before) => {
      if (!before.dataCentres[name]) throw new NotFound(`There is no data centre ${name}.`);
      return { ...before, dataCentres: { ...before.dataCentres, [name]: dataCentre } };
    },
  };
}

/** Starts the roll-out of a version; the current version becomes the one to roll back to. */
export function startRollOut(
  attribution: Attribution,
  model: string,
  target: { version: string; digest: string },
): Change {
  return {
    author: attribution.author,
    action: `roll out ${model} ${target.version}`,
    reason: attribution.reason,
    apply: (before) => {
      const current = before.releases[model];
      const previous = current && { version: current.version, digest: current.digest };
      const release: Release = {
        ...target,
        startedAt: attribution.at,
        ...(previous ? { previous } : {}),
      };
      return { ...before, releases: { ...before.releases, [model]: release } };
    },
  };
}

/** Stops a roll-out and rolls back to the previous version. */
export function stopRollOut(attribution: Attribution, model: string, report: UnfitReport): Change {
  return {
    author: attribution.author,
    action: `stop roll-out of ${model}`,
    reason: attribution.reason,
    apply: (before) => {
      const release = rollBackRelease(before.releases[model], report);
      if (!release) throw new Conflict(`The roll-out of ${model} has ended or changed already.`);
      return { ...before, releases: { ...before.releases, [model]: release } };
    },
  };
}
