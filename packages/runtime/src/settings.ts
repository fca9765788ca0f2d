import { readFileSync } from 'node:fs';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import { InvalidSettings, optionDefaults } from '@laburnumstream/common';
import type { Options } from '@laburnumstream/common';
import { z } from 'zod';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected IP:PORT');
const url = z.string().regex(/^http:\/\/\d+\.\d+\.\d+\.\d+:\d+/, 'expected http://IP:PORT');
const name = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'expected a name of a-z, 0-9 and -');
const count = z.number().int().positive();

const optionNames = Object.keys(optionDefaults) as (keyof Options)[];
const options = z.strictObject(
  Object.fromEntries(
    optionNames.map((option) => [option, count.default(optionDefaults[option])]),
  ) as Record<keyof Options, z.ZodDefault<typeof count>>,
);

const common = {
  instance: name,
  region: name,
  dataCentre: name,
  platform: z.strictObject({
    keyValue: url,
    origin: url,
    instances: url,
    originRegion: name,
  }),
  /** The first secret is sent with outgoing calls; all are accepted, so that secrets can be rotated. */
  secrets: z.array(z.string().min(16)).min(1),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
  options: options.prefault({}),
};

const entrySettings = z.strictObject({
  role: z.literal('entry'),
  ...common,
  listen: z.strictObject({ callers: address, operators: address, internal: address }),
  /** Operators allowed until the configuration defines some: name to SHA-256 of the token. */
  bootstrapOperators: z.record(z.string(), z.string().regex(/^[0-9a-f]{64}$/)).default({}),
});

const agentSettings = z.strictObject({
  role: z.literal('agent'),
  ...common,
  listen: z.strictObject({
    internal: address,
    weights: address,
    /** Address at which entries reach `internal`, if it differs. */
    advertised: address.optional(),
  }),
  service: name,
  endpoint: z.strictObject({
    kind: z.enum(['engine', 'plain']),
    url,
    /** Whether the endpoint refuses orders with a stale fencing number. */
    checksFencing: z.boolean().default(true),
  }),
});

const schemas = { entry: entrySettings, agent: agentSettings } as const;

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettings>;

/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettings>;

function getLineNumber(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

function formatIssue(file: string, text: string, issue: z.core.$ZodIssue): string {
  const tree = parseTree(text);
  const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
  let knownPath = path;
  let node = tree && findNodeAtLocation(tree, knownPath);
  while (!node && knownPath.length > 0) {
    knownPath = knownPath.slice(0, -1);
    node = tree && findNodeAtLocation(tree, knownPath);
  }
  const key = path.join('.') || '(whole file)';
  return `${file}:${getLineNumber(text, node?.offset ?? 0)}: ${key}: ${issue.message}`;
}

function parseJson(file: string, text: string): unknown {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const [first] = errors;
  if (!first) return value;
  const code = printParseErrorCode(first.error);
  throw new InvalidSettings(
    `${file}:${getLineNumber(text, first.offset)}: not valid JSON: ${code}`,
  );
}

/**
 * Parses and validates the text of a settings file. Throws `InvalidSettings` with one line per error,
 * which names the file, line, key and what was expected.
 */
export function parseSettings<Role extends keyof typeof schemas>(
  role: Role,
  file: string,
  text: string,
): z.infer<(typeof schemas)[Role]> {
  const result = schemas[role].safeParse(parseJson(file, text));
  if (result.success) return result.data as z.infer<(typeof schemas)[Role]>;
  const lines = result.error.issues.map((issue) => formatIssue(file, text, issue));
  throw new InvalidSettings(lines.join('\n'));
}

/** Reads the text of a settings file; throws `InvalidSettings`. */
export function readSettingsText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new InvalidSettings(`${file}: cannot be read: ${String(error)}`);
  }
}

/** Reads the role from the text of a settings file; throws `InvalidSettings`. */
export function parseRole(file: string, text: string): keyof typeof schemas {
  const value = parseJson(file, text) as { role?: unknown } | undefined;
  if (value?.role === 'entry' || value?.role === 'agent') return value.role;
  throw new InvalidSettings(`${file}:1: role: expected "entry" or "agent"`);
}
