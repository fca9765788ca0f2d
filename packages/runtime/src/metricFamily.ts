import type { Labels } from '@laburnumstream/common';

/** Values of one label that are told apart. */
const maxLabelValues = 64;
/** What stands for all further values of a label. */
const otherValue = 'other';

const escapes: Readonly<Record<string, string>> = { '\\': '\\\\', '"': '\\"', '\n': '\\n' };

function escapeLabelValue(value: string): string {
  return value.replace(/[\\"\n]/g, (character) => escapes[character]!);
}

/** The labels of one value as the text format has them. */
export function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([name, value]) => `${name}="${escapeLabelValue(value)}"`,
  );
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}

/** One value of a metric and its labels. */
export interface Series<Value> {
  readonly labels: Labels;
  value: Value;
}

/** All values of the metric of one name; the number of values of each label is bounded. */
export class MetricFamily<Value> {
  private readonly seriesByLabels = new Map<string, Series<Value>>();

  /** The values of each label that are told apart. */
  private readonly knownValues = new Map<string, Set<string>>();

  constructor(private readonly create: () => Value) {}

  get allSeries(): Iterable<Series<Value>> {
    return this.seriesByLabels.values();
  }

  /** The value with some labels, which is created when it is not there. */
  getSeries(labels: Labels = {}): Series<Value> {
    const key = Object.values(labels).join('\n');
    return this.seriesByLabels.get(key) ?? this.add(labels);
  }

  private add(labels: Labels): Series<Value> {
    const pairs = Object.entries(labels).map(([name, value]) => [
      name,
      this.limitValue(name, value),
    ]);
    const bounded = Object.fromEntries(pairs) as Labels;
    const key = Object.values(bounded).join('\n');
    let series = this.seriesByLabels.get(key);
    if (!series) {
      series = { labels: bounded, value: this.create() };
      this.seriesByLabels.set(key, series);
    }
    return series;
  }

  private limitValue(name: string, value: string): string {
    const values = this.knownValues.get(name) ?? new Set();
    this.knownValues.set(name, values);
    if (!values.has(value) && values.size >= maxLabelValues) return otherValue;
    values.add(value);
    return value;
  }
}
