import { hash64 } from '@laburnumstream/common';
import type { Configuration, ItemChange } from './model.js';

type Items = Readonly<Record<string, unknown>>;

/** The parts of the document that operators edit. */
const parts = [
  'defaults',
  'exceptions',
  'dataCentres',
  'services',
  'releases',
  'workspaces',
  'operators',
] as const;

/** Path that stands for all items, used when a change has too many to list. */
export const allItemsPath = '*';

/** The items of one part of the document by name. */
function getItems(configuration: Configuration, part: (typeof parts)[number]): Items {
  if (part !== 'exceptions') return configuration[part] as unknown as Items;
  return Object.fromEntries(configuration.exceptions.map((item) => [item.id, item]));
}

/** The order of exceptions, which determines their precedence and so is compared as an item. */
function formatExceptionOrder({ exceptions }: Configuration): string {
  return exceptions.map(({ id }) => id).join(' ');
}

function diffPart(from: Items, to: Items, part: string): ItemChange[] {
  const names = [...new Set([...Object.keys(from), ...Object.keys(to)])];
  return names
    .filter((name) => JSON.stringify(from[name]) !== JSON.stringify(to[name]))
    .map((name) => ({
      path: `${part}/${name}`,
      ...(name in from ? { from: from[name] } : {}),
      ...(name in to ? { to: to[name] } : {}),
    }));
}

/** The items that differ between two documents. */
export function diffConfigurations(from: Configuration, to: Configuration): ItemChange[] {
  const changes = parts.flatMap((part) => diffPart(getItems(from, part), getItems(to, part), part));
  const idsBefore = new Set(from.exceptions.map(({ id }) => id));
  const orderBefore = formatExceptionOrder({
    ...from,
    exceptions: from.exceptions.filter(({ id }) => to.exceptions.some((item) => item.id === id)),
  });
  const orderAfter = formatExceptionOrder({
    ...to,
    exceptions: to.exceptions.filter(({ id }) => idsBefore.has(id)),
  });
  if (orderBefore === orderAfter) return changes;
  return [...changes, { path: 'exceptions', from: orderBefore, to: orderAfter }];
}

/** Whether two paths are equal or one contains the other. */
function pathsOverlap(a: string, b: string): boolean {
  if (a === allItemsPath || b === allItemsPath) return true;
  return a === b || a.startsWith(`${b}/`) || b.startsWith(`${a}/`);
}

/** The paths of the first list that overlap with any path of the second. */
export function overlappingPaths(a: readonly ItemChange[], b: readonly ItemChange[]): string[] {
  return a
    .map(({ path }) => path)
    .filter((path) => b.some((other) => pathsOverlap(path, other.path)));
}

function redactTokenHashes(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  const { tokenHashes, ...rest } = value as { readonly tokenHashes?: readonly string[] };
  if (!tokenHashes) return value;
  return { ...rest, tokens: tokenHashes.map((hash) => hash64(hash).slice(0, 8)) };
}

/** Replaces each token hash by a short fingerprint that still distinguishes tokens. */
export function redactTokens(changes: readonly ItemChange[]): ItemChange[] {
  return changes.map(({ path, ...values }) => ({
    path,
    ...('from' in values ? { from: redactTokenHashes(values.from) } : {}),
    ...('to' in values ? { to: redactTokenHashes(values.to) } : {}),
  }));
}
