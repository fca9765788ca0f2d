import assert from 'node:assert/strict';
import type { Labels } from '@laburnumstream/common';
import type { HistogramMetrics } from '@laburnumstream/runtime';

/** One value of the metrics' text. */
export interface MetricValue {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
  /** The type that was told for its metric before it; undefined when there was none. */
  readonly type: string | undefined;
}

const line = /^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? (\S+)$/;
const labelPair = /([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"(?:,|$)/gy;
const escapes: Readonly<Record<string, string>> = { n: '\n' };

function labelsOf(text: string): Record<string, string> {
  const found = [...text.matchAll(labelPair)];
  assert.equal(found.map(([whole]) => whole).join(''), text, `labels ${text}`);
  const pairs = found.map(([, name, value]) => [
    name!,
    value!.replace(/\\(.)/g, (_whole, character: string) => escapes[character] ?? character),
  ]);
  return Object.fromEntries(pairs) as Record<string, string>;
}

/** Reads the Prometheus text format; fails on a line that does not keep to it. */
export function parseMetrics(text: string): MetricValue[] {
  assert.ok(text.endsWith('\n'), 'the text ends with a line feed');
  const types = new Map<string, string>();
  const values: MetricValue[] = [];
  text
    .trimEnd()
    .split('\n')
    .forEach((row) => {
      const typed = /^# TYPE (\S+) (counter|gauge|summary)$/.exec(row);
      if (typed) {
        assert.ok(!types.has(typed[1]!), `${row} stands twice`);
        types.set(typed[1]!, typed[2]!);
        return;
      }
      const match = line.exec(row);
      assert.ok(match, `not readable: ${row}`);
      const [, name, labels = '', written] = match;
      const value = written === '+Inf' ? Infinity : Number(written);
      assert.ok(!Number.isNaN(value), row);
      const type = types.get(name!) ?? types.get(name!.replace(/_(sum|count)$/, ''));
      values.push({ name: name!, labels: labelsOf(labels), value, type });
    });
  return values;
}

/** All values of a metric. */
export function valuesOf(metrics: HistogramMetrics, name: string): MetricValue[] {
  return parseMetrics(metrics.render()).filter((value) => value.name === name);
}

/** The sum of a metric's values that have some labels; 0 when there is none. */
export function valueOf(metrics: HistogramMetrics, name: string, labels: Labels = {}): number {
  const found = valuesOf(metrics, name).filter((value) =>
    Object.entries(labels).every(([label, text]) => value.labels[label] === text),
  );
  return found.reduce((sum, { value }) => sum + value, 0);
}
