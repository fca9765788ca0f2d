import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseHead, RequestHead, RequestMetadata } from './heads.js';

/** Translates the headers of the platform. Raw headers are names and values in turn. */
export interface HeaderCodec {
  decodeRequestHead(headers: IncomingHttpHeaders): RequestHead;
  decodeResponseHead(headers: IncomingHttpHeaders): ResponseHead;
  /** The headers of a caller's request as they go on to an endpoint. */
  encodeRequestHeaders(rawHeaders: readonly string[], terms: RequestMetadata): string[];
  /** The headers of an endpoint's answer as they go on to the caller. */
  encodeResponseHeaders(rawHeaders: readonly string[]): string[];
  /** The headers that tell a caller when to come back. */
  encodeRetryAfter(afterMs: number): string[];
}
