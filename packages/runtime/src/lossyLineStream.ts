import { Writable } from 'node:stream';
import type { Metrics } from '@laburnumstream/common';

/** Maximum bytes buffered in the sink for a slow reader. */
const maxBufferedBytes = 1_048_576;

/** The subset of a writable stream that lines are written to. */
export interface LineSink {
  /** Bytes buffered and not yet read. */
  readonly writableLength: number;
  write(line: string | Uint8Array): boolean;
}

/** Writes lines without backpressure: lines are dropped while the sink's buffer is full. */
export class LossyLineStream extends Writable {
  constructor(
    private readonly sink: LineSink,
    private readonly metrics: Metrics,
  ) {
    super({ decodeStrings: false });
  }

  override _write(
    line: string | Uint8Array,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    if (this.sink.writableLength > maxBufferedBytes) this.metrics.count('log_lines_lost');
    else this.sink.write(line);
    done();
  }
}
