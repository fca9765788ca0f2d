import { readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { loadConfiguration, loadSources, runCucumber } from '@cucumber/cucumber/api';
import type { ISupportCodeLibrary } from '@cucumber/cucumber/api';
import { readKnownRed } from './support/knownRed.js';
import { parseScenarioResults } from './support/results.js';
import type { ScenarioResult } from './support/results.js';

/** Scenarios that run at the same time or one after the other. */
interface Pass {
  readonly name: string;
  readonly tags: string;
  readonly parallel: number;
}

/** What a pass has brought. */
interface PassResult {
  readonly planned: number;
  readonly results: readonly ScenarioResult[];
  /** The step definitions; undefined if no scenario was planned. */
  readonly support: ISupportCodeLibrary | undefined;
}

const root = fileURLToPath(new URL('../..', import.meta.url));

/** A scenario that measures a process's memory runs without others, whose load would be measured, too. */
const passes: readonly Pass[] = [
  { name: 'parallel', tags: 'not @alone', parallel: 3 },
  { name: 'alone', tags: '@alone', parallel: 0 },
];

async function runPass(
  { name, tags, parallel }: Pass,
  paths: readonly string[],
  names: readonly string[],
  loaded: ISupportCodeLibrary | undefined,
): Promise<PassResult> {
  const report = join(tmpdir(), `laburnumstream-features-${process.pid}-${name}.json`);
  const provided = {
    paths: [...paths],
    import: ['features/dist/steps/**/*.js'],
    format: ['progress', `json:${report}`],
    name: [...names],
    tags,
    parallel,
    strict: true,
  };
  const { runConfiguration } = await loadConfiguration({ provided, file: false }, { cwd: root });
  const { plan } = await loadSources(runConfiguration.sources, { cwd: root });
  if (plan.length === 0) return { planned: 0, results: [], support: loaded };
  // Modules with step definitions are evaluated once, so a later pass uses those of the first one.
  const options = { ...runConfiguration, support: loaded ?? runConfiguration.support };
  const { support } = await runCucumber(options, { cwd: root });
  const results = parseScenarioResults(readFileSync(report, 'utf8'));
  return { planned: plan.length, results, support };
}

/**
 * Runs the features, all or those whose scenario names match `--name`. A failed scenario that
 * KNOWN-RED.txt lists is printed and passed over; any other failure ends with exit code 1, and so does
 * a scenario without a result, as when a worker ends while it runs.
 */
async function main(): Promise<number> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { name: { type: 'string', multiple: true } },
  });
  const paths = positionals.length > 0 ? positionals : ['features/**/*.feature'];
  const done: PassResult[] = [];
  for (const pass of passes)
    done.push(await runPass(pass, paths, values.name ?? [], done.at(-1)?.support));
  const results = done.flatMap((pass) => pass.results);
  const known = readKnownRed(readFileSync(join(root, 'KNOWN-RED.txt'), 'utf8'));
  const failed = results.filter(({ passed }) => !passed);
  const expected = failed.filter(({ name }) => known.includes(name));
  const unexpected = failed.filter(({ name }) => !known.includes(name));
  expected.forEach(({ name }) => console.log(`known red: ${name}`));
  unexpected.forEach(({ name }) => console.log(`failed: ${name}`));
  const lost = done.reduce((sum, { planned }) => sum + planned, 0) - results.length;
  if (lost !== 0) console.log(`${lost} scenarios have no result`);
  const passed = results.length - failed.length;
  console.log(`${passed} passed, ${unexpected.length} failed, ${expected.length} skipped`);
  return unexpected.length > 0 || lost !== 0 || passed === 0 ? 1 : 0;
}

process.exit(await main());
