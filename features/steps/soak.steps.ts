import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Then, When } from '@cucumber/cucumber';
import { parseSoakArguments, SoakRun } from '@laburnumstream/bench';
import type { SoakReport } from '@laburnumstream/bench';

interface SoakWorld {
  soakReport: SoakReport;
  soakExitCode: number;
  soakStderr: string;
}

const soakTimeoutMs = 150_000;
const program = fileURLToPath(new URL('../../../bench/dist/soak.js', import.meta.url));

/** Finds running processes of a soak whose parent is this process. */
function findLeftoverProcesses(): string[] {
  return readdirSync('/proc')
    .filter((name) => /^\d+$/.test(name))
    .filter((id) => {
      try {
        const status = readFileSync(`/proc/${id}/status`, 'utf8');
        const parent = Number(/^PPid:\s*(\d+)$/m.exec(status)?.[1]);
        const command = readFileSync(`/proc/${id}/cmdline`, 'utf8');
        return parent === process.pid && /(entry|agent)Main\.js/.test(command);
      } catch {
        // The process ended between listing and reading.
        return false;
      }
    });
}

When(
  /^the fault soak runs for (\S+) minutes with seed (\d+) and (\d+) processes$/,
  { timeout: soakTimeoutMs },
  async function run(this: SoakWorld, minutes: string, seed: number, processes: number) {
    const args = ['--minutes', minutes, '--seed', `${seed}`, '--processes', `${processes}`];
    this.soakReport = await new SoakRun(parseSoakArguments(args)).run(new AbortController().signal);
  },
);

Then(
  'it has served requests on every route and kept all promises',
  function check(this: SoakWorld) {
    const { violations, counts, logs } = this.soakReport;
    assert.deepEqual(violations, [], `logs: ${logs}`);
    ['safe', 'unsafe', 'stream', 'single'].forEach((route) => {
      assert.ok((counts[`${route} served`] ?? 0) > 0, `${route}: ${JSON.stringify(counts)}`);
    });
  },
);

When(/^the fault soak is started with (.+)$/, async function start(this: SoakWorld, line: string) {
  const args = [program, ...line.split(' ')];
  await new Promise<void>((resolve) => {
    execFile(process.execPath, args, (failure, _out, stderr) => {
      const exitCode = failure && typeof failure.code === 'number' ? failure.code : 0;
      Object.assign(this, { soakExitCode: exitCode, soakStderr: stderr });
      resolve();
    });
  });
});

Then(
  /^the soak ends with exit code 2 and one line that names (\S+)$/,
  function check(this: SoakWorld, name: string) {
    assert.equal(this.soakExitCode, 2, this.soakStderr);
    const lines = this.soakStderr.trim().split('\n');
    assert.equal(lines.length, 1, this.soakStderr);
    assert.ok(lines[0]!.includes(name), lines[0]);
  },
);

Then('it has left no process behind', () => {
  assert.deepEqual(findLeftoverProcesses(), []);
});
