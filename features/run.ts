import { readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { loadConfiguration, loadSources, runCucumber } from '@cucumber/cucumber/api';
import { readKnownRed } from './support/knownRed.js';
import { parseScenarioResults } from './support/results.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const parallelWorkers = 3;

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
  const report = join(tmpdir(), `laburnumstream-features-${process.pid}.json`);
  const provided = {
    paths: positionals.length > 0 ? positionals : ['features/**/*.feature'],
    import: ['features/dist/steps/**/*.js'],
    format: ['progress', `json:${report}`],
    name: values.name ?? [],
    parallel: parallelWorkers,
    strict: true,
  };
  const { runConfiguration } = await loadConfiguration({ provided, file: false }, { cwd: root });
  const { plan } = await loadSources(runConfiguration.sources, { cwd: root });
  await runCucumber(runConfiguration, { cwd: root });
  const results = parseScenarioResults(readFileSync(report, 'utf8'));
  const known = readKnownRed(readFileSync(join(root, 'KNOWN-RED.txt'), 'utf8'));
  const failed = results.filter(({ passed }) => !passed);
  const expected = failed.filter(({ name }) => known.includes(name));
  const unexpected = failed.filter(({ name }) => !known.includes(name));
  expected.forEach(({ name }) => console.log(`known red: ${name}`));
  unexpected.forEach(({ name }) => console.log(`failed: ${name}`));
  const lost = plan.length - results.length;
  if (lost !== 0) console.log(`${lost} scenarios have no result`);
  const passed = results.length - failed.length;
  console.log(`${passed} passed, ${unexpected.length} failed, ${expected.length} skipped`);
  return unexpected.length > 0 || lost !== 0 || passed === 0 ? 1 : 0;
}

process.exit(await main());
