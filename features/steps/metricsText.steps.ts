import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { HistogramMetrics, LoggerFactory } from '@laburnumstream/runtime';
import { eventually } from '../support/assertions.js';
import { parseMetrics, sumMetric, getMetricSamples } from '../support/metricsText.js';

interface TextWorld {
  metrics: HistogramMetrics;
}

When(
  '250 lines of one kind and 50 of another are logged within a second',
  async function lines(this: TextWorld) {
    this.metrics = new HistogramMetrics();
    const sink = { writableLength: 0, write: () => true };
    const log = new LoggerFactory('front-1', 'info', this.metrics, sink).forComponent('line');
    // All lines must fall into the same second of the log's rate limiter.
    await eventually(() => performance.now() % 1_000 < 500, 'a second has just begun');
    for (let line = 0; line < 250; line += 1) log.info('Request placed.');
    for (let line = 0; line < 50; line += 1) log.info('Request refused.');
  },
);

Then(
  'the metrics count 150 lines of the first kind left out and 150 written',
  function leftOut(this: TextWorld) {
    const first = { kind: 'line: Request placed.' };
    assert.equal(sumMetric(this.metrics, 'log_lines_left_out_total', first), 150);
    assert.equal(sumMetric(this.metrics, 'log_lines_left_out_total'), 150);
    assert.equal(sumMetric(this.metrics, 'log_lines_total', { level: 'info' }), 150);
  },
);

When('requests of 100000 routes are counted', function routes(this: TextWorld) {
  this.metrics = new HistogramMetrics();
  for (let route = 0; route < 100_000; route += 1) {
    const labels = { route: `route-${route}`, outcome: 'answered', reason: '200' };
    this.metrics.count('requests', labels);
  }
});

Then('at most 65 routes are told apart and no request is lost', function bounded(this: TextWorld) {
  const series = getMetricSamples(this.metrics, 'requests_total');
  assert.equal(series.length, 65);
  assert.equal(sumMetric(this.metrics, 'requests_total'), 100_000);
  assert.equal(sumMetric(this.metrics, 'requests_total', { route: 'other' }), 100_000 - 64);
});

const routeToEscape = 'a "quoted" \\ route\nof two lines, {x="y"}';

When(
  'counters, gauges and durations with odd labels are rendered',
  function render(this: TextWorld) {
    this.metrics = new HistogramMetrics();
    this.metrics.count('requests', { route: routeToEscape });
    this.metrics.gauge('entries', 7);
    this.metrics.registerGauges(() => [{ name: 'proof_age_ms', value: Infinity }]);
    [10, 20, 30].forEach((ms) => this.metrics.observe('wait', ms, { route: routeToEscape }));
  },
);

Then(
  'each value stands below the type of its metric and can be read back',
  function readBack(this: TextWorld) {
    const values = parseMetrics(this.metrics.render());
    assert.ok(
      values.every(({ type }) => type !== undefined),
      this.metrics.render(),
    );
    assert.equal(sumMetric(this.metrics, 'requests_total', { route: routeToEscape }), 1);
    assert.equal(sumMetric(this.metrics, 'entries'), 7);
    assert.equal(sumMetric(this.metrics, 'proof_age_ms'), Infinity);
    assert.equal(sumMetric(this.metrics, 'wait_ms_count', { route: routeToEscape }), 3);
    const sum = sumMetric(this.metrics, 'wait_ms_sum', { route: routeToEscape });
    assert.ok(Math.abs(sum - 60) < 1, `${sum} ms`);
    const median = sumMetric(this.metrics, 'wait_ms', { route: routeToEscape, quantile: '0.5' });
    assert.ok(Math.abs(median - 20) < 0.5, `${median} ms`);
  },
);
