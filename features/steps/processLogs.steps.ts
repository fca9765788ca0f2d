import assert from 'node:assert/strict';
import { openSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PlatformProgram, makeEntrySettings } from '@laburnumstream/bench';
import { parseLogLine } from '@laburnumstream/cli';
import type { LogLine } from '@laburnumstream/cli';
import { Behaviours } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { Callers } from '../support/callers.js';
import type { CallerResult } from '../support/callers.js';
import { runCommand } from '../support/commandLine.js';
import { parseMetrics } from '../support/metricsText.js';
import type { MetricSample } from '../support/metricsText.js';
import { PlatformFleet } from '../support/platformFleet.js';

/** An entry process and a client of it. */
interface RunningProgram {
  readonly program: PlatformProgram;
  readonly callers: Callers;
  /** Path of its log file. */
  readonly log: string;
}

interface ProcessLogsWorld {
  logFleet: PlatformFleet;
  logPrograms: RunningProgram[];
  results: CallerResult[];
  requestId: string;
}

const linesPerSecond = 100;
const secondMs = 1_000;
/** Minimum validity of the programs' proof that their API keys are current, in milliseconds. */
const minProofMs = 4_600;

async function fetchMetrics({ program }: RunningProgram): Promise<MetricSample[]> {
  const answer = await fetch(`http://127.0.0.1:${program.metricsPort}/metrics`);
  return parseMetrics(await answer.text());
}

async function fetchMetricSum(
  running: RunningProgram,
  name: string,
  kind?: string,
): Promise<number> {
  const values = await fetchMetrics(running);
  return values
    .filter((value) => value.name === name && (!kind || value.labels.kind === kind))
    .reduce((sum, { value }) => sum + value, 0);
}

async function isReady(running: RunningProgram): Promise<boolean> {
  try {
    const values = await fetchMetrics(running);
    const has = (name: string): boolean =>
      values.some((value) => value.name === name && value.value > 0);
    return has('endpoints') && has('entries');
  } catch {
    // The program isn't listening yet.
    return false;
  }
}

async function startProgram(
  { store }: PlatformFleet,
  name: string,
  isRead: boolean,
): Promise<RunningProgram> {
  const lines = await makeEntrySettings(store.address);
  lines.NodeName = name;
  const program = new PlatformProgram();
  program.write(lines);
  const log = join(program.file, '..', 'log');
  await program.start(isRead ? openSync(log, 'w') : 'pipe');
  const running = { program, callers: new Callers(lines['Listen.Front']!), log };
  try {
    await eventually(() => isReady(running), `${name} is ready`);
  } catch (error) {
    program.close();
    throw error;
  }
  return running;
}

function readLogLines({ log }: RunningProgram): LogLine[] {
  return readFileSync(log, 'utf8')
    .split('\n')
    .flatMap((text) => parseLogLine(text) ?? []);
}

After(async function close(this: Partial<ProcessLogsWorld>) {
  this.logPrograms?.forEach(({ program, callers }) => {
    program.close();
    callers.close();
  });
  await this.logFleet?.close();
});

Given(
  /^the entry program with its log in a file and an engine that (\w+)$/,
  async function start(this: ProcessLogsWorld, behaviour: keyof typeof Behaviours) {
    this.logFleet = await PlatformFleet.start([Behaviours[behaviour]]);
    this.logPrograms = [await startProgram(this.logFleet, 'front-1', true)];
  },
);

When('nothing happens before', () => undefined);

When('more requests run than the engine may have', async function crowd(this: ProcessLogsWorld) {
  const [running] = this.logPrograms;
  for (let sent = 0; sent < 120; sent += 1) void running!.callers.send('/unsafe/x', `c${sent}`);
  const refused = (): boolean =>
    readLogLines(running!).some(({ message }) => message === 'line: Request refused.');
  await eventually(refused, 'some are refused', 2_000);
});

When('the store is silent until proofs are old', async function silence(this: ProcessLogsWorld) {
  this.logFleet.store.isSilent = true;
  const [running] = this.logPrograms;
  const age = (): Promise<number> => fetchMetricSum(running!, 'configuration_proof_age_ms');
  await eventually(async () => (await age()) > minProofMs, 'the proof is old');
});

When(
  /^a caller's request to unsafe gets (\d+)$/,
  async function ask(this: ProcessLogsWorld, status: string) {
    this.requestId = 'asked';
    const result = await this.logPrograms[0]!.callers.send('/unsafe/x', this.requestId);
    assert.equal(result.status, Number(status));
  },
);

Then(
  /^the command explains its id with (.+)$/,
  async function explain(this: ProcessLogsWorld, cause: string) {
    const { log } = this.logPrograms[0]!;
    const { code, out, error } = await runCommand('', '', ['explain', this.requestId, log]);
    assert.equal(code, 0, error);
    assert.match(out.replaceAll('\n', ' '), new RegExp(cause), out);
  },
);

When(
  'callers send 6000 requests at 2000 a second to unsafe',
  async function flood(this: ProcessLogsWorld) {
    this.results = await this.logPrograms[0]!.callers.flood('/unsafe/x', 6_000, 2_000);
    const faults = this.results.flatMap(({ status, fault }) => (status === 0 ? [fault] : []));
    assert.deepEqual([...new Set(faults)], [], `${faults.length} requests without a response`);
    // The number of suppressed lines is reported a second later.
    await sleep(secondMs);
  },
);

Then(
  'its log has at most 100 lines of each kind a second, but for refusals',
  function bounded(this: ProcessLogsWorld) {
    const lines = readLogLines(this.logPrograms[0]!).filter(
      ({ isRepeatable }) => isRepeatable !== false,
    );
    const timesByKind = new Map<string, number[]>();
    lines.forEach(({ message, timestamp }) => {
      const times = timesByKind.get(message) ?? [];
      timesByKind.set(message, [...times, Date.parse(timestamp)]);
    });
    timesByKind.forEach((times, kind) => {
      const spanMs = times.at(-1)! - times[0]!;
      // Number of whole seconds of the rate limit's window that the lines can span.
      const seconds = Math.floor(spanMs / secondMs) + 2;
      assert.ok(times.length <= linesPerSecond * seconds, `${times.length} of ${kind}`);
    });
    assert.ok(timesByKind.get('requests: Request answered.')!.length >= linesPerSecond);
  },
);

Then(
  'lines and those that its metrics count as left out make up all requests',
  async function complete(this: ProcessLogsWorld) {
    const [running] = this.logPrograms;
    const kind = 'requests: Request answered.';
    const written = readLogLines(running!).filter(({ message }) => message === kind).length;
    const leftOut = await fetchMetricSum(running!, 'log_lines_left_out_total', kind);
    const answered = this.results.filter(({ status }) => status === 200).length;
    assert.ok(leftOut > 0, `${answered} requests answered, no line suppressed`);
    assert.equal(written + leftOut, answered);
    assert.equal(await fetchMetricSum(running!, 'log_lines_lost_total'), 0);
  },
);

Then('each failed request has all of its lines', function failures(this: ProcessLogsWorld) {
  const lines = readLogLines(this.logPrograms[0]!);
  const idsOf = (all: readonly LogLine[]): string[] => all.map(({ id }) => String(id)).sort();
  const failed = lines.filter(({ message }) => message === 'callers: Request failed.');
  const refused = lines.filter(({ message }) => message === 'line: Request refused.');
  const overloaded = failed.filter(({ reason }) => reason === 'No endpoint can answer in time.');
  const unserved = this.results.filter(({ status }) => status !== 200).map(({ id }) => id);
  assert.ok(overloaded.length > linesPerSecond * 3, `${overloaded.length} were refused`);
  assert.deepEqual(idsOf(failed), [...unserved].sort());
  assert.deepEqual(idsOf(refused), idsOf(overloaded));
});

Given(
  'two entry programs, one of them with a standard output that nobody reads',
  async function two(this: ProcessLogsWorld) {
    this.logFleet = await PlatformFleet.start([Behaviours.answers]);
    this.logPrograms = [];
    for (const [name, isRead] of [
      ['front-1', true],
      ['front-2', false],
    ] as const) {
      this.logPrograms.push(await startProgram(this.logFleet, name, isRead));
    }
  },
);

When(
  'both have had so many requests that lines of the one are lost',
  async function fill(this: ProcessLogsWorld) {
    // Lines on failed requests that aren't retryable are never suppressed.
    const path = '/unsafe/x?'.padEnd(2_000, 'x');
    const strangers = this.logPrograms.map(({ callers }) => new Callers(callers.address, 'other'));
    const isFull = async (): Promise<boolean> => {
      await Promise.all(strangers.map((callers) => callers.flood(path, 100, 1_000)));
      return (await fetchMetricSum(this.logPrograms[1]!, 'log_lines_lost_total')) > 0;
    };
    await eventually(isFull, 'lines are lost', 30_000);
    strangers.forEach((callers) => callers.close());
  },
);

Then(
  '300 requests to each are served, and the one takes no longer than the other',
  async function compare(this: ProcessLogsWorld) {
    const times: number[][] = [[], []];
    for (let round = 0; round < 300; round += 1) {
      for (const [index, { callers }] of this.logPrograms.entries()) {
        const { status, ms } = await callers.send('/safe/x', `r${round}`);
        assert.equal(status, 200);
        times[index]!.push(ms);
      }
    }
    const [read, unread] = times.map((all) => all.sort((a, b) => a - b));
    const ratio = unread![150]! / read![150]!;
    assert.ok(ratio < 1.5, `median ${unread![150]} ms, with a reader ${read![150]} ms`);
  },
);
