import type { Labels } from '@laburnumstream/common';

/** Maximum number of distinct values of one label. */
const maxLabelValues = 64;
/** Replaces all further values of a label. */
const otherValue = 'other';

const escapes: Readonly<Record<string, string>> = { '\\': '\\\\', '"': '\\"', '\n': '\\n' };

function escapeLabelValue(value: string): string {
  return value.replace(/[\\"\n]/g, (character) => escapes[character]!);
}

/** Formats labels in the Prometheus text format. */
export function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([name, value]) => `${name}="${escapeLabelValue(value)}"`,
  );
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}

/** A metric's value for one set of labels. */
export interface Series<Value> {
  readonly labels: Labels;
  value: Value;
}

/** All series of one metric; the cardinality of each label is limited. */
export class MetricFamily<Value> {
  private readonly seriesByLabels = new Map<string, Series<Value>>();

  /** Distinct values of each label. */
  private readonly knownValues = new Map<string, Set<string>>();

  constructor(private readonly create: () => Value) {}

  get allSeries(): Iterable<Series<Value>> {
    return this.seriesByLabels.values();
  }

  /** Returns the series with the given labels, creating it if necessary. */
  getSeries(labels: Labels = {}): Series<Value> {
    const key = Object.values(labels).join('\n');
    return this.seriesByLabels.get(key) ?? this.add(labels);
  }

  private add(labels: Labels): Series<Value> {
    const pairs = Object.entries(labels).map(([name, value]) => [
      name,
      this.limitValue(name, value),
    ]);
    const limited = Object.fromEntries(pairs) as Labels;
    const key = Object.values(limited).join('\n');
    let series = this.seriesByLabels.get(key);
    if (!series) {
      series = { labels: limited, value: this.create() };
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
