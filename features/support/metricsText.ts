import assert from 'node:assert/strict';
import type { Labels } from '@laburnumstream/common';
import type { HistogramMetrics } from '@laburnumstream/runtime';

/** One sample of the Prometheus text format. */
export interface MetricSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
  /** The type that a preceding TYPE line declares for the metric; undefined without one. */
  readonly type: string | undefined;
}

const samplePattern = /^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? (\S+)$/;
const labelPattern = /([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"(?:,|$)/gy;
const escapes: Readonly<Record<string, string>> = { n: '\n' };

function parseLabels(text: string): Record<string, string> {
  const found = [...text.matchAll(labelPattern)];
  assert.equal(found.map(([whole]) => whole).join(''), text, `labels ${text}`);
  const pairs = found.map(([, name, value]) => [
    name!,
    value!.replace(/\\(.)/g, (_whole, character: string) => escapes[character] ?? character),
  ]);
  return Object.fromEntries(pairs) as Record<string, string>;
}

/** Parses the Prometheus text format; fails on an invalid line. */
export function parseMetrics(text: string): MetricSample[] {
  assert.ok(text.endsWith('\n'), 'the text ends with a line feed');
  const types = new Map<string, string>();
  const values: MetricSample[] = [];
  text
    .trimEnd()
    .split('\n')
    .forEach((row) => {
      const typed = /^# TYPE (\S+) (counter|gauge|summary)$/.exec(row);
      if (typed) {
        assert.ok(!types.has(typed[1]!), `duplicate line: ${row}`);
        types.set(typed[1]!, typed[2]!);
        return;
      }
      const match = samplePattern.exec(row);
      assert.ok(match, `invalid line: ${row}`);
      const [, name, labels = '', written] = match;
      const value = written === '+Inf' ? Infinity : Number(written);
      assert.ok(!Number.isNaN(value), row);
      const type = types.get(name!) ?? types.get(name!.replace(/_(sum|count)$/, ''));
      values.push({ name: name!, labels: parseLabels(labels), value, type });
    });
  return values;
}

/** Returns all samples of a metric. */
export function getMetricSamples(metrics: HistogramMetrics, name: string): MetricSample[] {
  return parseMetrics(metrics.render()).filter((value) => value.name === name);
}

/** Sums a metric's samples that have the given labels; 0 when there are none. */
export function sumMetric(metrics: HistogramMetrics, name: string, labels: Labels = {}): number {
  const found = getMetricSamples(metrics, name).filter((value) =>
    Object.entries(labels).every(([label, text]) => value.labels[label] === text),
  );
  return found.reduce((sum, { value }) => sum + value, 0);
}
