import type { Log, Metrics } from '@laburnumstream/common';
import { createLogger, format, transports } from 'winston';
import { LogRateLimiter } from './logRateLimiter.js';
import { LossyLineStream } from './lossyLineStream.js';
import type { LineSink } from './lossyLineStream.js';

/** Interval between reports of suppressed lines, in milliseconds. */
const reportIntervalMs = 1_000;

type Fields = Readonly<Record<string, unknown>>;

/** No-op metrics. */
const noMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  registerGauges: () => undefined,
};

/**
 * Creates loggers for the components of a process, which write JSON lines to standard output. Lines
 * are rate limited per message, except those about non-retryable requests, which are always written.
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

  /** Returns a logger whose messages start with the component's name. */
  forComponent(component: string): Log {
    const write =
      (level: string) =>
      (message: string, fields: Fields = {}): void => {
        if (this.logger.isLevelEnabled(level))
          this.write(level, `${component}: ${message}`, fields);
      };
    return {
      debug: write('debug'),
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
    };
  }

  private write(level: string, message: string, fields: Fields): void {
    const isExempt = fields.isRepeatable === false;
    if (!isExempt && !this.rateLimiter.tryAcquire(message, performance.now())) {
      this.metrics.count('log_lines_left_out', { kind: message });
      this.scheduleReport();
      return;
    }
    this.metrics.count('log_lines', { level });
    this.logger.log({ level, message, instance: this.instance, ...fields });
  }

  /** Schedules one line that reports the suppressed lines of all kinds. */
  private scheduleReport(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      const kinds = this.rateLimiter.takeSuppressed();
      const { instance } = this;
      this.logger.log({ level: 'warn', message: 'log: Lines left out.', instance, kinds });
    }, reportIntervalMs).unref();
  }
}
