import { toFailure } from '@laburnumstream/common';
import { parseSoakArguments } from './soak/arguments.js';
import { regressions } from './soak/regressions.js';
import { SoakRun } from './soak/soakRun.js';
import type { SoakOptions, SoakReport } from './soak/soakRun.js';

const usageExitCode = 2;
const violationExitCode = 1;
const regressionsFlag = '--regressions';

function formatCounts(counts: Readonly<Record<string, number>>): string {
  const rows = Object.entries(counts).sort(([left], [right]) => left.localeCompare(right));
  return rows.map(([name, count]) => `${name} ${count}`).join(', ');
}

function print(report: SoakReport): void {
  const { violations, counts, faults, p90Ms, p99Ms, stalls, maxStallMs, logs } = report;
  console.log(`faults: ${formatCounts(faults)}`);
  console.log(
    `requests: ${formatCounts(counts)}; served in ${p90Ms} ms (90 %), ${p99Ms} ms (99 %)`,
  );
  console.log(`the soak process stalled ${stalls} times, at most ${maxStallMs} ms`);
  violations.forEach(({ rule, text, atMs }) =>
    console.log(`BROKEN ${rule} at ${atMs} ms: ${text}`),
  );
  console.log(violations.length > 0 ? `logs: ${logs}` : 'all promises kept');
}

/** Parses the arguments of one soak, or of all regressions; throws `InvalidInput`. */
function parseSoaks(args: readonly string[]): SoakOptions[] {
  const isRegression = args.length === 1 && args[0] === regressionsFlag;
  if (!isRegression) return [parseSoakArguments(args)];
  return regressions.map(({ commandLine }) => parseSoakArguments(commandLine.split(' ')));
}

/** Runs the programs under faults; exit code 1 on violations, 2 on invalid arguments. */
async function main(): Promise<number> {
  const stop = new AbortController();
  process.once('SIGINT', () => stop.abort());
  process.once('SIGTERM', () => stop.abort());
  let hasViolations = false;
  try {
    for (const options of parseSoaks(process.argv.slice(2))) {
      console.log(`seed ${options.seed}, ${options.minutes} min, ${options.processes} processes`);
      const report = await new SoakRun(options).run(stop.signal);
      print(report);
      hasViolations = hasViolations || report.violations.length > 0;
    }
    return hasViolations ? violationExitCode : 0;
  } catch (error) {
    process.stderr.write(`${toFailure(error).message}\n`);
    return usageExitCode;
  }
}

process.exit(await main());
