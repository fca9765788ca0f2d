import { InvalidInput, TooLarge } from '@laburnumstream/common';
import { z } from 'zod';
import { DataCentreState, OperatorRole, ServiceKind, policyDefaults } from './model.js';
import type { Configuration, Policy } from './model.js';

/** Maximum size of a written document, in bytes; the store accepts a megabyte. */
export const maxDocumentBytes = 917_504;

const maxTextLength = 2_000;
const maxItems = 20_000;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, {
  error: 'expected a name of letters, digits, ".", "_" and "-"',
});
const reason = z
  .string()
  .max(maxTextLength)
  .refine((text) => text.trim() !== '', { error: 'expected a written reason' });
const digest = z.string().regex(/^[0-9a-f]{64}$/, { error: 'expected a SHA-256 in hex' });
const wallMs = z.number().int().nonnegative();
const hashes = z.array(digest).min(1).max(10);
const names = z.array(name).max(maxItems);

const policyNames = Object.keys(policyDefaults) as (keyof Policy)[];
const positive = z.number().positive().finite();
const defaults = z.strictObject(
  Object.fromEntries(policyNames.map((key) => [key, positive])) as Record<
    keyof Policy,
    typeof positive
  >,
);

const scope = z.strictObject({
  dataCentre: name.optional(),
  service: name.optional(),
  workspace: name.optional(),
  instance: name.optional(),
});

const exception = z.strictObject({
  id: name,
  scope,
  policy: defaults
    .partial()
    .refine((policy) => Object.keys(policy).length > 0, { error: 'expected at least one value' }),
  reason,
  author: z.string(),
  createdAt: wallMs,
  expiresAt: wallMs.optional(),
});

const dataCentre = z.strictObject({
  state: z.enum(DataCentreState),
  reason: z.string().max(maxTextLength),
  since: wallMs,
});

const service = z.strictObject({
  kind: z.enum(ServiceKind),
  model: name.optional(),
  adapters: names.optional(),
  nonIdempotentPaths: z.array(z.string().startsWith('/')).max(maxItems).optional(),
});

/** Only the product writes releases, so their other fields are not checked. */
const release = z.looseObject({
  version: z.string().min(1),
  digest: z.string().min(1),
  startedAt: wallMs,
});

const workspace = z.strictObject({ tokenHashes: hashes });

const operator = z.strictObject({
  role: z.enum(OperatorRole),
  tokenHashes: hashes,
  services: names.optional(),
  workspaces: names.optional(),
});

const configuration = z.strictObject({
  revision: z.number().int().nonnegative(),
  changeId: z.string(),
  defaults,
  exceptions: z.array(exception).max(maxItems),
  dataCentres: z.record(name, dataCentre),
  services: z.record(name, service),
  releases: z.record(name, release),
  workspaces: z.record(name, workspace),
  operators: z.record(name, operator),
  audit: z.array(z.looseObject({ revision: z.number(), changeId: z.string() })),
  auditPage: z.string(),
});

function formatIssue({ path, message }: z.core.$ZodIssue): string {
  return `${path.map(String).join('.') || '(document)'}: ${message}`;
}

/** Validates constraints between different parts of the document. */
function findCrossPartErrors(document: Configuration): string[] {
  const { defaults: policy, exceptions } = document;
  const ids = exceptions.map(({ id }) => id);
  const duplicates = ids.filter((id, index) => ids.indexOf(id) !== index);
  const errors = duplicates.map((id) => `exceptions: expected one exception with the id ${id}`);
  if (policy.coldLimit > policy.maxLimit) {
    errors.push('defaults.coldLimit: expected at most defaults.maxLimit');
  }
  return errors;
}

/** Validates a document; throws `InvalidInput` with the path and expectation of each error. */
export function checkConfiguration(document: Configuration): void {
  const result = configuration.safeParse(document);
  const errors = result.success
    ? findCrossPartErrors(document)
    : result.error.issues.map((issue) => formatIssue(issue));
  if (errors.length > 0) throw new InvalidInput(errors.join('; '));
}

/** Throws `TooLarge` for a document that the store could refuse because of its size. */
export function checkDocumentSize(text: string): void {
  const { length } = new TextEncoder().encode(text);
  if (length <= maxDocumentBytes) return;
  throw new TooLarge(
    `The document would have ${length} bytes; at most ${maxDocumentBytes} are allowed.`,
  );
}
