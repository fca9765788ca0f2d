import { toFailure } from '@laburnumstream/common';
import { readChoices } from './soak/arguments.js';
import { SoakRun } from './soak/soakRun.js';
import type { SoakReport } from './soak/soakRun.js';

const usageCode = 2;
const brokenCode = 1;

function listOf(counts: Readonly<Record<string, number>>): string {
  const rows = Object.entries(counts).sort(([left], [right]) => left.localeCompare(right));
  return rows.map(([name, count]) => `${name} ${count}`).join(', ');
}

function print({ violations, counts, faults, p90Ms, p99Ms, logs }: SoakReport): void {
  console.log(`faults: ${listOf(faults)}`);
  console.log(`requests: ${listOf(counts)}; served in ${p90Ms} ms (90 %), ${p99Ms} ms (99 %)`);
  violations.forEach(({ rule, text, atMs }) =>
    console.log(`BROKEN ${rule} at ${atMs} ms: ${text}`),
  );
  console.log(violations.length > 0 ? `logs: ${logs}` : 'all promises kept');
}

/** Runs the programs under faults; exit code 1 when a promise is broken, 2 for wrong use. */
async function main(): Promise<number> {
  const stop = new AbortController();
  process.once('SIGINT', () => stop.abort());
  process.once('SIGTERM', () => stop.abort());
  try {
    const choices = readChoices(process.argv.slice(2));
    console.log(`seed ${choices.seed}, ${choices.minutes} min, ${choices.processes} processes`);
    const report = await new SoakRun(choices).run(stop.signal);
    print(report);
    return report.violations.length > 0 ? brokenCode : 0;
  } catch (error) {
    process.stderr.write(`${toFailure(error).message}\n`);
    return usageCode;
  }
}

process.exit(await main());
