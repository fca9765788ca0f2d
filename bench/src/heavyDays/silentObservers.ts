import type { Log, Metrics } from '@laburnumstream/common';

/** A log that drops all lines. */
export const silentLog: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Metrics that keep nothing. */
export const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};
