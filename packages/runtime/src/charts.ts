import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Chart } from '@laburnumstream/common';

const require = createRequire(import.meta.url);

/** Loads the statechart of the given name from the charts package. */
export function readChart(name: string): Chart {
  const file = require.resolve(`@laburnumstream/charts/${name}.json`);
  return new Chart(JSON.parse(readFileSync(file, 'utf8')) as object);
}
