import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseHead, RequestHead, RequestMetadata } from './heads.js';

/** Encodes and decodes the platform's headers. Raw headers alternate names and values. */
export interface HeaderCodec {
  decodeRequestHead(headers: IncomingHttpHeaders): RequestHead;
  decodeResponseHead(headers: IncomingHttpHeaders): ResponseHead;
  /** Returns the raw headers with which a caller's request is forwarded to an endpoint. */
  encodeRequestHeaders(rawHeaders: readonly string[], metadata: RequestMetadata): string[];
  /** Returns the raw headers with which an endpoint's response is forwarded to the caller. */
  encodeResponseHeaders(rawHeaders: readonly string[]): string[];
  /** Returns the headers that ask a caller to retry after a delay. */
  encodeRetryAfter(delayMs: number): string[];
}
