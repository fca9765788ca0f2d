import { execFileSync } from 'node:child_process';
import { mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { availableParallelism, cpus } from 'node:os';
import { fileURLToPath } from 'node:url';
import { Failure } from '@laburnumstream/common';
import type { Figure } from './figure.js';

const folder = fileURLToPath(new URL('../results/', import.meta.url));
const suffix = '.json';
const indent = 2;

/** The machine on which a bench ran. */
export interface Machine {
  readonly processor: string;
  readonly cores: number;
  readonly node: string;
}

/** A saved bench run. */
export interface Result {
  readonly bench: string;
  readonly seed: number;
  readonly quick: boolean;
  /** The commit that was measured. */
  readonly commit: string;
  readonly machine: Machine;
  readonly figures: readonly Figure[];
}

function git(...args: string[]): string {
  return execFileSync('git', args, { cwd: folder, stdio: ['ignore', 'pipe', 'ignore'] }).toString();
}

function machine(): Machine {
  const processor = cpus()[0]?.model ?? 'unknown';
  return { processor, cores: availableParallelism(), node: process.version };
}

function parse(name: string, text: string): Result {
  try {
    return JSON.parse(text) as Result;
  } catch (error) {
    throw new Failure('damaged_result', `${name} is not a saved result.`, { cause: error });
  }
}

/** Saves a run under bench/results. */
export function saveResult(run: Omit<Result, 'commit' | 'machine'>): void {
  mkdirSync(folder, { recursive: true });
  const commit = git('rev-parse', '--short', 'HEAD').trim();
  const result: Result = { ...run, commit, machine: machine() };
  const file = `${folder}${run.bench}${suffix}`;
  writeFileSync(file, `${JSON.stringify(result, null, indent)}\n`);
}

/** Reads all saved runs. */
export function savedResults(): Result[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith(suffix))
    .map((name) => parse(name, readFileSync(`${folder}${name}`, 'utf8')));
}

/** Reads the committed run of a bench, or undefined when there is none. */
export function committedResult(bench: string): Result | undefined {
  try {
    return parse(bench, git('show', `HEAD:./${bench}${suffix}`));
  } catch {
    return undefined;
  }
}
