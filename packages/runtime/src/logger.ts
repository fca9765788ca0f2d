import type { Log, Metrics } from '@laburnumstream/common';
import { createLogger, format, transports } from 'winston';
import { LogRateLimiter } from './lineBudget.js';
import { LossyLineStream } from './lineOutput.js';
import type { LineSink } from './lineOutput.js';

/** Time between two reports on lines that were left out, in milliseconds. */
const reportIntervalMs = 1_000;

type Fields = Readonly<Record<string, unknown>>;

/** Metrics of a process that keeps none. */
const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

/**
 * Makes loggers for the parts of one process, which write JSON lines to standard output. The number
 * of lines of each kind is bounded; only those on requests that may not be repeated always pass.
 */
export class LoggerFactory {
  private readonly logger;

  private readonly rateLimiter = new LogRateLimiter();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly instance: string,
    level: string,
    private readonly metrics: Metrics = noMetrics,
    sink: LineSink = process.stdout,
  ) {
    const stream = new LossyLineStream(sink, metrics);
    this.logger = createLogger({
      level,
      format: format.combine(format.timestamp(), format.json()),
      transports: [new transports.Stream({ stream })],
    });
  }

  /** A logger whose messages start with the part's name. */
  forComponent(part: string): Log {
    const write =
      (level: string) =>
      (message: string, fields: Fields = {}): void => {
        if (this.logger.isLevelEnabled(level)) this.write(level, `${part}: ${message}`, fields);
      };
    return {
      debug: write('debug'),
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
    };
  }

  private write(level: string, message: string, fields: Fields): void {
    const mustStay = fields.isRepeatable === false;
    if (!mustStay && !this.rateLimiter.tryAcquire(message, performance.now())) {
      this.metrics.count('log_lines_left_out', { kind: message });
      this.scheduleReport();
      return;
    }
    this.metrics.count('log_lines', { level });
    this.logger.log({ level, message, instance: this.instance, ...fields });
  }

  /** Writes one line for all kinds of which lines were left out. */
  private scheduleReport(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      const kinds = this.rateLimiter.takeSuppressed();
      const { instance } = this;
      this.logger.log({ level: 'warn', message: 'log: Lines left out.', instance, kinds });
    }, reportIntervalMs).unref();
  }
}
