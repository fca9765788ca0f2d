import type { Gauge, Labels, Metrics } from '@laburnumstream/common';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { MetricFamily, formatLabels } from './metricFamily.js';

const microsecondsPerMs = 1_000;
const percentiles = [50, 95, 99] as const;

type Families<Value> = Map<string, MetricFamily<Value>>;

function getOrCreateFamily<Value>(
  families: Families<Value>,
  name: string,
  create: () => Value,
): MetricFamily<Value> {
  let family = families.get(name);
  if (!family) {
    family = new MetricFamily(create);
    families.set(name, family);
  }
  return family;
}

const zero = (): number => 0;
const emptyHistogram = (): Histogram => build({ numberOfSignificantValueDigits: 2 });

function formatNumber(value: number): string {
  if (Number.isFinite(value)) return String(value);
  return value > 0 ? '+Inf' : '-Inf';
}

function renderValues(name: string, type: string, family: MetricFamily<number>): string[] {
  const lines = [`# TYPE ${name} ${type}`];
  for (const { labels, value } of family.allSeries) {
    lines.push(`${name}${formatLabels(labels)} ${formatNumber(value)}`);
  }
  return lines;
}

function renderSummary(name: string, family: MetricFamily<Histogram>): string[] {
  const lines = [`# TYPE ${name} summary`];
  for (const { labels, value: histogram } of family.allSeries) {
    percentiles.forEach((percentile) => {
      const ms = histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
      const text = formatLabels({ ...labels, quantile: String(percentile / 100) });
      lines.push(`${name}${text} ${ms}`);
    });
    const count = histogram.totalCount;
    const sumMs = count === 0 ? 0 : (histogram.mean * count) / microsecondsPerMs;
    lines.push(`${name}_sum${formatLabels(labels)} ${sumMs}`);
    lines.push(`${name}_count${formatLabels(labels)} ${count}`);
  }
  return lines;
}

/** In-memory metrics of a process, rendered in the Prometheus text format. */
export class HistogramMetrics implements Metrics {
  private readonly counters: Families<number> = new Map();

  private readonly gauges: Families<number> = new Map();

  private readonly histograms: Families<Histogram> = new Map();

  private readonly gaugeReaders: (() => readonly Gauge[])[] = [];

  count(name: string, labels?: Labels): void {
    getOrCreateFamily(this.counters, name, zero).getSeries(labels).value += 1;
  }

  gauge(name: string, value: number): void {
    getOrCreateFamily(this.gauges, name, zero).getSeries().value = value;
  }

  observe(name: string, ms: number, labels?: Labels): void {
    const { value: histogram } = getOrCreateFamily(this.histograms, name, emptyHistogram).getSeries(
      labels,
    );
    histogram.recordValue(Math.max(0, Math.round(ms * microsecondsPerMs)));
  }

  registerGauges(read: () => readonly Gauge[]): void {
    this.gaugeReaders.push(read);
  }

  /** Renders the Prometheus text format: the type of each metric and a line per value. */
  render(): string {
    const lines: string[] = [];
    this.counters.forEach((family, name) =>
      lines.push(...renderValues(`${name}_total`, 'counter', family)),
    );
    [this.gauges, this.readGauges()].forEach((gauges) =>
      gauges.forEach((family, name) => lines.push(...renderValues(name, 'gauge', family))),
    );
    this.histograms.forEach((family, name) => lines.push(...renderSummary(`${name}_ms`, family)));
    return `${lines.join('\n')}\n`;
  }

  /** Reads the registered gauges; values of the same gauge with equal labels are summed. */
  private readGauges(): Families<number> {
    const gauges: Families<number> = new Map();
    this.gaugeReaders
      .flatMap((read) => read())
      .forEach(({ name, value, labels }) => {
        getOrCreateFamily(gauges, name, zero).getSeries(labels).value += value;
      });
    return gauges;
  }
}
