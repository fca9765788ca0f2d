import { Writable } from 'node:stream';
import type { Metrics } from '@laburnumstream/common';

/** Bytes that may wait for a slow reader. */
const maxBufferedBytes = 1_048_576;

/** The part of a stream that lines are written to. */
export interface LineSink {
  /** Bytes that the reader has not taken. */
  readonly writableLength: number;
  write(line: string | Uint8Array): boolean;
}

/** Writes lines without ever waiting for their reader: lines beyond what may wait are lost. */
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
