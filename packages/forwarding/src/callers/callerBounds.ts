/** Bounds on what callers may keep open in one process; callers inside the platform's limits reach none of them. */
export interface CallerBounds {
  /** Open connections. */
  readonly maxConnections: number;
  /** Bytes that are held for callers and endpoints together. */
  readonly memoryBytes: number;
  /** Requests of one connection that are handled at once; reading pauses until one has been answered. */
  readonly maxHandled: number;
  /** Requests of one connection that have been read and not answered; a connection with more is closed. */
  readonly maxPipelined: number;
  /** Headers of a request. */
  readonly maxHeaders: number;
  /** Chunks of a body, in addition to one for each `bytesPerPart` bytes. */
  readonly maxParts: number;
  /** Bytes of a body for each of which one more chunk is allowed. */
  readonly bytesPerPart: number;
  /** Time in which the head of a request must be complete, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Time in which an answered caller must take `minTakenBytes` or the rest of its response, in milliseconds. */
  readonly unreadTimeoutMs: number;
  /** Bytes that a caller must take of its response in each `unreadTimeoutMs`. */
  readonly minTakenBytes: number;
}

/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200;
/** Share of the other descriptors for callers; the rest is for endpoints, other entries, checks and metrics. */
const callerDescriptorShare = 0.6;
/** Memory that the program takes without any connection, in bytes. */
const programBytes = 130_000_000;
/** Share of the other memory for callers and endpoints; the rest is for the heap and for buffers to be collected. */
const memoryShare = 0.5;
/** Least memory for callers and endpoints, in bytes: a few of the largest bodies and responses. */
const minMemoryBytes = 16_777_216;
/** Most memory for callers and endpoints, in bytes; also where the platform states no limit. */
const maxMemoryBytes = 268_435_456;

/** Defaults of the bounds that do not depend on the instance. */
const fixedBounds = {
  // Callers send one request at a time on a connection; a few are allowed to follow without waiting.
  maxHandled: 16,
  maxPipelined: 128,
  // Clients and the balancers on the way send a few dozen.
  maxHeaders: 256,
  // Clients send chunks of kilobytes, or a short body in pieces as they come.
  maxParts: 8_192,
  bytesPerPart: 32,
  headTimeoutMs: 10_000,
  // A caller on a slow link takes more than this in each period.
  unreadTimeoutMs: 10_000,
  minTakenBytes: 16_384,
};

/** Returns the memory for callers and endpoints of a process that may use `memoryBytes`. */
function callerMemoryWithin(memoryBytes: number): number {
  const bytes = (memoryBytes - programBytes) * memoryShare;
  return Math.min(maxMemoryBytes, Math.max(minMemoryBytes, bytes));
}

/** Returns the default bounds in an instance with so many bytes of memory and so many descriptors. */
export function callerBoundsWithin(memoryBytes: number, maxDescriptors = Infinity): CallerBounds {
  const descriptors = Math.max(1, maxDescriptors - fileDescriptors);
  return {
    ...fixedBounds,
    maxConnections: Math.max(1, Math.floor(descriptors * callerDescriptorShare)),
    memoryBytes: callerMemoryWithin(memoryBytes),
  };
}
