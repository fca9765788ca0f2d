import { toFailure } from '@laburnumstream/common';
import { readChoices } from './soak/arguments.js';
import { regressions } from './soak/regressions.js';
import { SoakRun } from './soak/soakRun.js';
import type { SoakChoices, SoakReport } from './soak/soakRun.js';

const usageCode = 2;
const brokenCode = 1;
const regressionsFlag = '--regressions';

function listOf(counts: Readonly<Record<string, number>>): string {
  const rows = Object.entries(counts).sort(([left], [right]) => left.localeCompare(right));
  return rows.map(([name, count]) => `${name} ${count}`).join(', ');
}

function print(report: SoakReport): void {
  const { violations, counts, faults, p90Ms, p99Ms, stalls, longestStallMs, logs } = report;
  console.log(`faults: ${listOf(faults)}`);
  console.log(`requests: ${listOf(counts)}; served in ${p90Ms} ms (90 %), ${p99Ms} ms (99 %)`);
  console.log(`the soak stood still ${stalls} times, at most ${longestStallMs} ms`);
  violations.forEach(({ rule, text, atMs }) =>
    console.log(`BROKEN ${rule} at ${atMs} ms: ${text}`),
  );
  console.log(violations.length > 0 ? `logs: ${logs}` : 'all promises kept');
}

/** The soaks that the arguments ask for; throws `InvalidInput`. */
function soaksOf(args: readonly string[]): SoakChoices[] {
  const isRegression = args.length === 1 && args[0] === regressionsFlag;
  if (!isRegression) return [readChoices(args)];
  return regressions.map(({ line }) => readChoices(line.split(' ')));
}

/** Runs the programs under faults; exit code 1 when a promise is broken, 2 for wrong use. */
async function main(): Promise<number> {
  const stop = new AbortController();
  process.once('SIGINT', () => stop.abort());
  process.once('SIGTERM', () => stop.abort());
  let isBroken = false;
  try {
    for (const choices of soaksOf(process.argv.slice(2))) {
      console.log(`seed ${choices.seed}, ${choices.minutes} min, ${choices.processes} processes`);
      const report = await new SoakRun(choices).run(stop.signal);
      print(report);
      isBroken = isBroken || report.violations.length > 0;
    }
    return isBroken ? brokenCode : 0;
  } catch (error) {
    process.stderr.write(`${toFailure(error).message}\n`);
    return usageCode;
  }
}

process.exit(await main());
