import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RequestTimeline, parseLogLine, renderTimeline } from '@laburnumstream/cli';
import type { LogLine } from '@laburnumstream/cli';
import {
  HistogramMetrics,
  LogRateLimiter,
  LossyLineStream,
  LoggerFactory,
} from '@laburnumstream/runtime';
import type { PlatformFleet } from '../support/platformFleet.js';

interface LogsWorld {
  budget: LogRateLimiter;
  written: Map<string, number>;
  leftOut: number;
  kept: number;
  output: LossyLineStream;
  outputMetrics: HistogramMetrics;
  platform: PlatformFleet;
  story: string;
}

const loggedMessages = ['Request placed.', 'Request refused.', 'Request failed.'];
const perSecond = 2_000;
const seconds = 3;
const secondMs = 1_000;

When(/^2000 requests a second are logged for 3 seconds$/, function flood(this: LogsWorld) {
  this.budget = new LogRateLimiter();
  this.written = new Map();
  this.leftOut = 0;
  for (let request = 0; request < perSecond * seconds; request += 1) {
    const now = (request / perSecond) * secondMs;
    loggedMessages.forEach((kind) => {
      const name = `${kind} ${Math.floor(now / secondMs)}`;
      if (this.budget.tryAcquire(kind, now))
        this.written.set(name, (this.written.get(name) ?? 0) + 1);
      else this.leftOut += 1;
    });
  }
  const lines: string[] = [];
  const sink = {
    writableLength: 0,
    write: (line: string | Uint8Array) => lines.push(`${line}`) > 0,
  };
  const log = new LoggerFactory('front-1', 'info', new HistogramMetrics(), sink).forComponent(
    'line',
  );
  for (let request = 0; request < perSecond; request += 1) {
    log.info('Request refused.', { id: String(request), isRepeatable: false });
  }
  this.kept = lines.length;
});

Then(
  'at most 100 lines of each kind are written in a second and the others are counted',
  function bounded(this: LogsWorld) {
    assert.equal(this.written.size, loggedMessages.length * seconds);
    this.written.forEach((lines) => assert.equal(lines, 100));
    const counted = this.budget.takeSuppressed().reduce((sum, { lines }) => sum + lines, 0);
    assert.equal(counted, this.leftOut);
    assert.deepEqual(this.budget.takeSuppressed(), []);
  },
);

Then('each line on a request that may not be repeated is written', function kept(this: LogsWorld) {
  assert.equal(this.kept, perSecond);
});

When('the reader of the log stops', function stop(this: LogsWorld) {
  this.outputMetrics = new HistogramMetrics();
  const sink = {
    writableLength: 0,
    write(line: string | Uint8Array): boolean {
      this.writableLength += line.length;
      return false;
    },
  };
  this.output = new LossyLineStream(sink, this.outputMetrics);
});

Then(
  '20000 lines are taken without waiting and those that were lost are counted',
  function taken(this: LogsWorld) {
    const line = 'x'.repeat(200);
    for (let written = 0; written < 20_000; written += 1) {
      assert.ok(this.output.write(line), `writing line ${written} would block`);
    }
    const [, lost = '0'] = /log_lines_lost_total (\d+)/.exec(this.outputMetrics.render()) ?? [];
    const maxBuffered = 1_048_576 / line.length + 1;
    assert.ok(Number(lost) >= 20_000 - maxBuffered, `${lost} lines lost`);
  },
);

function toLine({ message, fields }: PlatformFleet['logEntries'][number], index: number): LogLine {
  const timestamp = new Date(index).toISOString();
  return parseLogLine(
    `front-1 ${JSON.stringify({ timestamp, instance: 'front-1', message, ...fields })}`,
  )!;
}

Then(/^the explanation of its id names (.+)$/, function explain(this: LogsWorld, cause: string) {
  const lines = this.platform.logEntries.map(toLine);
  const last = lines.filter(({ message }) => message.endsWith('Request failed.')).at(-1)!;
  const explanation = new RequestTimeline(String(last.id));
  lines.forEach((line) => explanation.addLine(line));
  const text = renderTimeline(explanation.getEntries());
  assert.match(text.replaceAll('\n', ' '), new RegExp(cause), text);
});

Given(
  'the log of an entry that lost the store, was started anew and then failed a request',
  function restart(this: LogsWorld) {
    const explanation = new RequestTimeline('r1');
    [
      { message: 'fleet: Configuration in force.', fields: { version: 3 } },
      { message: 'store: Store not reachable.', fields: {} },
      { message: 'process: Started.', fields: {} },
      { message: 'fleet: Configuration in force.', fields: { version: 4 } },
      { message: 'callers: Request failed.', fields: { id: 'r1' } },
    ].forEach((line, index) => explanation.addLine(toLine(line, index)));
    this.story = renderTimeline(explanation.getEntries());
  },
);

Then(
  'its explanation has the start and nothing that was believed before',
  function fresh(this: LogsWorld) {
    const messages = this.story.split('\n').map((line) => /\w+: [^.]+\./.exec(line)?.[0]);
    assert.deepEqual(messages, [
      'process: Started.',
      'fleet: Configuration in force.',
      'callers: Request failed.',
    ]);
    assert.match(this.story, /version=4/);
  },
);
