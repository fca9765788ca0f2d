/** Maximum size of the headers of a response, or of its trailers, in bytes. */
export const maxHeaderBytes = 16_384;

/** Maximum size of all that is not the body of a response, in bytes, without `framingPerBodyByte`. */
export const maxFramingBytes = 65_536;

/** Bytes of framing that each byte of a body may have in addition: its chunk may have no other byte. */
export const framingPerBodyByte = 16;

/** Part of a process's memory that responses which are not complete yet may hold together. */
const responseMemoryShare = 0.25;

/**
 * Maximum memory for responses that are not complete yet, in bytes. One response may hold half of it, 32 MiB:
 * a service's responses are of the size of its requests, a few megabytes at most.
 */
export const responseMemoryBytes = 67_108_864;

/** Returns the memory for responses, in bytes, of a process that may use `memoryBytes`. */
export function responseMemoryWithin(memoryBytes: number): number {
  return Math.min(responseMemoryBytes, memoryBytes * responseMemoryShare);
}

/** Maximum size of one event of a stream, in bytes: usually it is a few tokens. */
export const maxEventBytes = 4_194_304;

/**
 * Maximum size of the events that are kept for a caller that reads slowly, in bytes: more than most streams have. An
 * endpoint that had to wait for its caller could cut the stream off.
 */
export const maxUnreadBytes = 1_048_576;
