import { parseArgs } from 'node:util';
import { Failure, toFailure } from '@laburnumstream/common';
import { benches } from './benches.js';
import { isWithin, toFigures } from './figure.js';
import type { BenchRun, Figure } from './figure.js';
import { saveResult } from './results.js';

const defaultSeed = 1;
const secondMs = 1_000;

/** Parsed command-line options. */
interface RunOptions {
  readonly run: BenchRun;
  readonly json: boolean;
  readonly save: boolean;
}

const usage = `Usage: npm run bench -- NAME | all [--json] [--quick] [--seed N] [--runs N] [--save]

Benches: ${Object.keys(benches).join(', ')}

Exit codes: 0 all bounds held, 1 a bound is broken, 2 wrong usage
`;

function print(bench: string, figure: Figure): void {
  const verdict = isWithin(bench, figure) ? '' : '  BROKEN';
  const bound = figure.bound ? `  (${figure.bound})` : '';
  console.log(`${bench}  ${figure.name}  ${figure.value} ${figure.unit}${bound}${verdict}`);
}

async function measure(name: string, { run, save }: RunOptions): Promise<Figure[]> {
  const figures = toFigures(name, await benches[name]!(run));
  if (save) saveResult({ bench: name, seed: run.seed, quick: run.quick, figures });
  return figures;
}

async function runOne(name: string, options: RunOptions): Promise<boolean> {
  const figures = await measure(name, options);
  figures.forEach((figure) => print(name, figure));
  if (options.json) {
    console.log(JSON.stringify({ bench: name, seed: options.run.seed, figures }));
  }
  return figures.every((figure) => isWithin(name, figure));
}

/** Runs all benches and prints one line for each; a failing bench does not stop the others. */
async function runAll(options: RunOptions): Promise<boolean> {
  let within = true;
  for (const name of Object.keys(benches)) {
    const started = performance.now();
    const outcome = await measure(name, options).catch((error: unknown) => toFailure(error));
    const seconds = ((performance.now() - started) / secondMs).toFixed(1);
    const summary =
      outcome instanceof Failure ? `FAILED ${outcome.message}` : formatFigures(name, outcome);
    console.log(`${name}  ${seconds} s  ${summary}`);
    const isHeld = !(outcome instanceof Failure) && outcome.every((each) => isWithin(name, each));
    within = within && isHeld;
  }
  return within;
}

function formatFigures(bench: string, figures: readonly Figure[]): string {
  const parts = figures.map((figure) => {
    const verdict = isWithin(bench, figure) ? '' : ' BROKEN';
    return `${figure.name}=${Number(figure.value.toPrecision(4))}${verdict}`;
  });
  return parts.join(' ');
}

async function main(): Promise<number> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      json: { type: 'boolean' },
      quick: { type: 'boolean' },
      save: { type: 'boolean' },
      seed: { type: 'string' },
      runs: { type: 'string' },
    },
  });
  const [name = ''] = positionals;
  const seed = Number(values.seed ?? defaultSeed);
  const run = { seed, quick: values.quick ?? false, runs: Number(values.runs ?? 0) };
  const options = { run, json: values.json ?? false, save: values.save ?? false };
  if (name === 'all') return (await runAll(options)) ? 0 : 1;
  if (!benches[name]) {
    process.stderr.write(usage);
    return 2;
  }
  return (await runOne(name, options)) ? 0 : 1;
}

process.exit(await main());
