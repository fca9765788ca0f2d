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

/** Who asks for a change, when and why. */
export interface Author {
  readonly author: string;
  readonly reason: string;
  readonly at: number;
}

type JsonObject = Readonly<Record<string, unknown>>;

const editableParts = ['defaults', 'services', 'workspaces', 'operators', 'dataCentres'];

function checkParts(parts: JsonObject): void {
  const unknown = Object.keys(parts).filter((key) => !editableParts.includes(key));
  if (unknown.length > 0) {
    throw new InvalidInput(
      `${unknown.join(', ')}: expected only the parts ${editableParts.join(', ')}`,
    );
  }
  const wrong = Object.entries(parts).filter(
    ([, part]) => typeof part !== 'object' || part === null || Array.isArray(part),
  );
  if (wrong.length === 0) return;
  throw new InvalidInput(wrong.map(([key]) => `${key}: expected an object`).join('; '));
}

/** Patches the parts of the document item by item (RFC 7396): null removes an item. */
export function applyChange(by: Author, parts: JsonObject): Change {
  checkParts(parts);
  return {
    author: by.author,
    action: 'apply',
    reason: by.reason,
    apply: (before) => mergePatch(before, parts) as Configuration,
  };
}

/** Adds an exception; it must carry a written reason. */
export function addException(by: Author, fields: JsonObject): Change {
  const { expiresAt } = fields;
  if (typeof expiresAt === 'number' && expiresAt <= by.at) {
    throw new InvalidInput('expiresAt: expected a time in the future');
  }
  const exception = {
    scope: {},
    ...fields,
    reason: by.reason,
    author: by.author,
    createdAt: by.at,
  } as unknown as PolicyException;
  return {
    author: by.author,
    action: `add exception ${String(fields.id)}`,
    reason: by.reason,
    apply: (before) => {
      if (before.exceptions.some(({ id }) => id === exception.id)) {
        throw new Conflict(`There is an exception ${exception.id} already.`);
      }
      return { ...before, exceptions: [...before.exceptions, exception] };
    },
  };
}

/** Removes an exception. */
export function removeException(by: Author, id: string): Change {
  return {
    author: by.author,
    action: `remove exception ${id}`,
    reason: by.reason,
    apply: (before) => {
      const exceptions = before.exceptions.filter((known) => known.id !== id);
      if (exceptions.length === before.exceptions.length) {
        throw new NotFound(`There is no exception ${id}.`);
      }
      return { ...before, exceptions };
    },
  };
}

/** Takes a data centre out or returns it. */
export function setDataCentre(by: Author, name: string, state: DataCentreState): Change {
  const dataCentre: DataCentre = { state, reason: by.reason, since: by.at };
  const action = state === DataCentreState.out ? 'take out' : 'return';
  return {
    author: by.author,
    action: `${action} ${name}`,
    reason: by.reason,
    apply: (before) => {
      if (!before.dataCentres[name]) throw new NotFound(`There is no data centre ${name}.`);
      return { ...before, dataCentres: { ...before.dataCentres, [name]: dataCentre } };
    },
  };
}

/** Starts the roll-out of a version. */
export function startRollOut(
  by: Author,
  model: string,
  target: { version: string; digest: string },
): Change {
  return {
    author: by.author,
    action: `roll out ${model} ${target.version}`,
    reason: by.reason,
    apply: (before) => {
      const current = before.releases[model];
      const previous = current && { version: current.version, digest: current.digest };
      const release: Release = { ...target, startedAt: by.at, ...(previous ? { previous } : {}) };
      return { ...before, releases: { ...before.releases, [model]: release } };
    },
  };
}

/** Stops a roll-out and returns to the version before. */
export function stopRollOut(by: Author, model: string, report: UnfitReport): Change {
  return {
    author: by.author,
    action: `stop roll-out of ${model}`,
    reason: by.reason,
    apply: (before) => {
      const release = rollBackRelease(before.releases[model], report);
      if (!release) throw new Conflict(`The roll-out of ${model} has ended or changed already.`);
      return { ...before, releases: { ...before.releases, [model]: release } };
    },
  };
}
