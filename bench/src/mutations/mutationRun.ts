import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Failure } from '@laburnumstream/common';
import type { Mutation } from './mutation.js';

const separator = ': ';
const runTimeoutMs = 180_000;
/** Exit code of a soak run that found a violation. */
const soakViolationExitCode = 1;

function countOccurrences(text: string, part: string): number {
  return text.split(part).length - 1;
}

/** Whether the text to replace occurs exactly once in the built file. */
export function isApplicable(root: string, { file, find }: Mutation): boolean {
  return countOccurrences(readFileSync(join(root, file), 'utf8'), find) === 1;
}

/** Runs the fault soak; true when it finds no violation. */
function soakPasses(root: string, soak: readonly string[]): boolean {
  const args = ['bench/dist/soak.js', ...soak];
  const { status } = spawnSync(process.execPath, args, { cwd: root, timeout: runTimeoutMs });
  return status !== soakViolationExitCode;
}

/** Runs the scenario of a mutation; true when it passes. */
function scenarioPasses(root: string, test: string): boolean {
  const scenario = test.slice(test.indexOf(separator) + separator.length);
  const name = `^${scenario}$`;
  const args = ['features/dist/run.js', '--name', name];
  const { status } = spawnSync(process.execPath, args, { cwd: root, timeout: runTimeoutMs });
  return status === 0;
}

/** Runs the test of a mutation; true when it passes. */
function testPasses(root: string, { test, soak }: Mutation): boolean {
  return soak ? soakPasses(root, soak) : scenarioPasses(root, test);
}

/**
 * Applies a mutation to the built code, runs its test and restores the file. Returns whether the
 * test detected the mutation, that is, failed.
 */
export function isDetected(root: string, mutation: Mutation): boolean {
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
    return !testPasses(root, mutation);
  } finally {
    writeFileSync(path, built);
  }
}
