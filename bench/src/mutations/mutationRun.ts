import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Failure } from '@laburnumstream/common';
import type { Mutation } from './mutation.js';

const separator = ': ';
const scenarioLimitMs = 180_000;
/** Exit code of a soak that found a broken promise. */
const soakBroken = 1;

/** How often a text stands in another. */
function occurrences(text: string, part: string): number {
  return text.split(part).length - 1;
}

/** Whether the text to replace stands exactly once in the built file. */
export function isApplicable(root: string, { file, find }: Mutation): boolean {
  return occurrences(readFileSync(join(root, file), 'utf8'), find) === 1;
}

/** Runs the fault soak; true when it finds no broken promise. */
function soakPasses(root: string, soak: readonly string[]): boolean {
  const args = ['bench/dist/soak.js', ...soak];
  const { status } = spawnSync(process.execPath, args, { cwd: root, timeout: scenarioLimitMs });
  return status !== soakBroken;
}

/** Runs the scenario of a mutation; true when it passes. */
function scenarioPasses(root: string, test: string): boolean {
  const scenario = test.slice(test.indexOf(separator) + separator.length);
  const name = `^${scenario}$`;
  const args = ['features/dist/run.js', '--name', name];
  const { status } = spawnSync(process.execPath, args, { cwd: root, timeout: scenarioLimitMs });
  return status === 0;
}

/** Runs what notices a mutation; true when it passes. */
function passes(root: string, { test, soak }: Mutation): boolean {
  return soak ? soakPasses(root, soak) : scenarioPasses(root, test);
}

/**
 * Switches a mechanism off in the built code, runs its scenario and restores the file. Returns
 * whether the scenario noticed, that is, failed.
 */
export function isNoticed(root: string, mutation: Mutation): boolean {
  const path = join(root, mutation.file);
  const built = readFileSync(path, 'utf8');
  if (!isApplicable(root, mutation)) {
    throw new Failure('mutation_out_of_date', `${mutation.name} does not fit ${mutation.file}.`);
  }
  try {
    writeFileSync(
      path,
      built.replace(mutation.find, () => mutation.replace),
    );
    return !passes(root, mutation);
  } finally {
    writeFileSync(path, built);
  }
}
