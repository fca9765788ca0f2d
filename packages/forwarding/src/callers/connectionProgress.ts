import type { Socket } from 'node:net';
import type { CallerBounds } from './callerBounds.js';

/** What a connection has taken too long for. */
export const Overdue = {
  /** It has sent a part of a head and not the rest. */
  head: 'head',
  /** It has sent nothing since it was opened. */
  silent: 'silent',
  /** It does not take its response. */
  unread: 'unread',
} as const;

/** One of the values of {@link Overdue}. */
export type Overdue = (typeof Overdue)[keyof typeof Overdue];

/** What a connection is in the middle of. */
export interface ConnectionStage {
  /** Bytes that had been read when the last response had been sent. */
  readonly bytesReadBefore: number;
  /** Whether all requests have been answered. */
  readonly isWaiting: boolean;
  /** Whether all requests have been handled and responses are left that have not been sent in full. */
  readonly isUnread: boolean;
}

/** Times that a connection is given, in milliseconds. */
export interface ProgressTimes {
  /** Time in which a head must be complete. */
  readonly headMs: number;
  /** Time in which the first byte must come. */
  readonly silentMs: number;
}

const sweepsPerMs = 0.001;
/** Some clients send an empty line after a body. */
const emptyLineBytes = 2;

/**
 * Finds connections that make no progress. Time is counted in sweeps, one a second: a process that was paused
 * sweeps once before it reads what has arrived, so the time of the pause does not count against callers.
 */
export class ConnectionProgress {
  private headSweeps = 0;

  private silentSweeps = 0;

  private unreadSweeps = 0;

  /** Bytes that the caller had taken when `unreadSweeps` was reset. */
  private takenBytes = 0;

  constructor(private readonly bounds: CallerBounds) {}

  /** Counts a sweep; returns what is overdue, if anything. */
  check(socket: Socket, stage: ConnectionStage, times: ProgressTimes): Overdue | undefined {
    const headBytes = socket.bytesRead - stage.bytesReadBefore;
    const isHeadOpen = stage.isWaiting && headBytes > emptyLineBytes;
    this.headSweeps = isHeadOpen ? this.headSweeps + 1 : 0;
    if (this.headSweeps > times.headMs * sweepsPerMs) return Overdue.head;
    // A few bytes that are no request yet do not count, as they could hold the connection for ever.
    const hasFewBytes = stage.isWaiting && headBytes > 0 && headBytes <= emptyLineBytes;
    const isSilent = socket.bytesRead === 0 || hasFewBytes;
    this.silentSweeps = isSilent ? this.silentSweeps + 1 : 0;
    if (this.silentSweeps > times.silentMs * sweepsPerMs) return Overdue.silent;
    return this.isUnread(socket, stage) ? Overdue.unread : undefined;
  }

  private isUnread(socket: Socket, { isUnread }: ConnectionStage): boolean {
    const taken = socket.bytesWritten - socket.writableLength;
    if (!isUnread || taken - this.takenBytes >= this.bounds.minTakenBytes) {
      this.takenBytes = taken;
      this.unreadSweeps = 0;
      return false;
    }
    this.unreadSweeps += 1;
    return this.unreadSweeps > this.bounds.unreadTimeoutMs * sweepsPerMs;
  }
}
