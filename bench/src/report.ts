import { writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import type { Figure } from './figure.js';
import { committedResult, savedResults } from './results.js';
import type { Result } from './results.js';

/** The used part of the chart library, whose own types do not resolve in ES modules. */
interface ChartLibrary {
  readonly init: (
    element: null,
    theme: null,
    options: object,
  ) => { setOption: (options: object) => void; renderToSVGString: () => string };
}

const { init } = createRequire(import.meta.url)('echarts') as ChartLibrary;

const width = 720;
const rowHeight = 34;
const margin = 90;
const file = fileURLToPath(new URL('../results/report.html', import.meta.url));

/** A row of the report: a figure of the saved run and its value in the last committed run. */
interface ReportRow {
  readonly figure: Figure;
  readonly committedValue: number | undefined;
}

function toRows(result: Result): ReportRow[] {
  const committed = committedResult(result.bench);
  return result.figures.map((figure) => ({
    figure,
    committedValue: committed?.figures.find(({ name }) => name === figure.name)?.value,
  }));
}

function printRow(bench: string, { figure, committedValue }: ReportRow): void {
  const { name, value, unit, bound } = figure;
  const change = committedValue === undefined ? 'new' : `committed ${committedValue}`;
  console.log([bench, name, `${value} ${unit}`, bound ?? 'no bound', change].join('  '));
}

/** Draws each figure as a share of its bound, so that all figures of a bench fit on one axis. */
function renderChart({ bench }: Result, rows: readonly ReportRow[]): string {
  const bounded = rows.filter(({ figure }) => Number(figure.bound?.split(' ')[1]) > 0);
  const share = (value: number, { figure }: ReportRow) =>
    value / Number(figure.bound?.split(' ')[1]);
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width,
    height: margin + rowHeight * Math.max(1, bounded.length),
  });
  chart.setOption({
    title: { text: `${bench}: value as a share of its bound` },
    legend: { top: 25 },
    grid: { left: 260, top: 60 },
    xAxis: { type: 'value' },
    yAxis: { type: 'category', data: bounded.map(({ figure }) => figure.name) },
    series: [
      { name: 'now', type: 'bar', data: bounded.map((row) => share(row.figure.value, row)) },
      {
        name: 'committed',
        type: 'bar',
        data: bounded.map((row) =>
          row.committedValue === undefined ? null : share(row.committedValue, row),
        ),
      },
    ],
  });
  return chart.renderToSVGString();
}

/** Prints all saved results beside the committed ones and draws them as one page of plots. */
function main(): void {
  const plots = savedResults().map((result) => {
    const rows = toRows(result);
    rows.forEach((row) => printRow(result.bench, row));
    return renderChart(result, rows);
  });
  writeFileSync(file, `<!doctype html><meta charset="utf-8">\n${plots.join('\n')}\n`);
  console.log('plots: bench/results/report.html');
}

main();
