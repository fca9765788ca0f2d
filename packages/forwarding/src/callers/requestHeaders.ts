import type { IncomingMessage } from 'node:http';
import { Failure } from '@laburnumstream/common';

/** Strings in the raw headers for each header: its name and its value. */
const partsPerHeader = 2;
const tooManyHeadersStatus = 431;

/** The request has so many headers that keeping them costs far more memory than their size. */
export class TooManyHeaders extends Failure {
  constructor(maxHeaders: number) {
    super('too_many_headers', `The request has more than ${maxHeaders} headers.`, {
      status: tooManyHeadersStatus,
    });
  }
}

/** Throws `TooManyHeaders` if a request has more than `maxHeaders`. */
export function checkHeaders({ rawHeaders }: IncomingMessage, maxHeaders: number): void {
  if (rawHeaders.length > maxHeaders * partsPerHeader) throw new TooManyHeaders(maxHeaders);
}
