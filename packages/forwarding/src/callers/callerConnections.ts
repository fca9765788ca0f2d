import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@laburnumstream/common';
import { MemoryBudget } from '@laburnumstream/decisions';
import { ConnectionLimit } from '@laburnumstream/runtime';
import type { CallerBounds } from './callerBounds.js';
import { CallerMemory } from './callerMemory.js';
import type { CallerHolder } from './callerMemory.js';
import { closeAfterResponse } from './closingSocket.js';
import { ConnectionProgress, Overdue } from './connectionProgress.js';
import type { ProgressTimes } from './connectionProgress.js';
import { ReadGate } from './readGate.js';
import { beforeHead } from './responseHead.js';

/** Why a caller's connection was closed by this process. */
export const CloseReason = {
  ...Overdue,
  /** There are too many connections. */
  connections: 'connections',
  /** Too many requests were sent without waiting for responses. */
  pipelined: 'pipelined',
  /** Memory is short, and the connection was selected to release some. */
  memory: 'memory',
} as const;

/** One of the values of {@link CloseReason}. */
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

/** A request that was read from a connection. */
export interface ArrivedRequest {
  readonly response: ServerResponse;
  /** Memory that it holds until it has been answered, besides its body and response, in bytes. */
  readonly bytes: number;
  /** Handles the request; called at once, or when earlier ones of its connection have been answered. */
  readonly start: () => void;
  /** Called when its connection has closed before the response was sent. */
  readonly abort: () => void;
  /** Refuses the request if its body is incomplete and no response has begun; returns whether it did. */
  readonly refuse: () => boolean;
}

/** What is in progress on one connection. */
interface Connection {
  readonly socket: Socket;
  readonly gate: ReadGate;
  readonly holder: CallerHolder;
  readonly progress: ConnectionProgress;
  /** Requests whose responses have not been sent in full, in their order. */
  readonly unanswered: Map<ServerResponse, ArrivedRequest>;
  /** Requests that wait until earlier ones have been answered. */
  readonly queued: ArrivedRequest[];
  /** Requests that are being handled or are queued. */
  handling: number;
  /** Responses of handled requests that have not been handed to the operating system in full. */
  readonly unsent: Set<ServerResponse>;
  /** Bytes read when the last response had been sent; undefined before the first one. */
  bytesRead: number | undefined;
  /** Response to the latest request; undefined before the first one. */
  latest: ServerResponse | undefined;
  /** Whether the head of the latest response says that the connection closes. */
  isEnding: boolean;
}

const sweepMs = 1_000;

/** Reason to pause a connection: earlier requests have not been answered. */
const pipelined = Symbol('pipelined');
/** Reason to pause a connection: the rest of its request is not needed, as it has been refused. */
const unwanted = Symbol('unwanted');

/** Tracks the requests on callers' connections: bounds them, and closes only idle ones otherwise. */
export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();

  private readonly limit: ConnectionLimit;

  private readonly memory: CallerMemory;

  private handling = 0;

  /** Connections and requests that have arrived so far. */
  private arrivals = 0;

  /** Whether the last response on each connection says that it closes. */
  private isDraining = false;

  /** Whether each connection is closed as soon as it is idle. */
  private isClosing = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly bounds: CallerBounds,
    budget: MemoryBudget,
    private readonly clock: Clock,
    /** Called for each connection that is closed because of a bound. */
    private readonly onClose: (reason: CloseReason, socket: Socket) => void,
  ) {
    this.memory = new CallerMemory(budget, clock);
    this.limit = new ConnectionLimit(bounds.maxConnections, (socket) =>
      onClose(CloseReason.connections, socket),
    );
  }

  /** Number of requests that are being handled or whose responses have not been sent in full. */
  get activeRequests(): number {
    const open = [...this.connections.values()];
    return open.reduce((sum, { unsent }) => sum + unsent.size, this.handling);
  }

  /** Number of connections and requests that have arrived so far. */
  get arrivalCount(): number {
    return this.arrivals;
  }

  /** Adds a connection; returns false if there is no room for it. */
  add(socket: Socket): boolean {
    if (!this.limit.add(socket)) return false;
    this.arrivals += 1;
    const gate = new ReadGate(socket);
    const connection: Connection = {
      socket,
      gate,
      holder: {
        bytes: 0,
        workspace: undefined,
        progressAt: this.clock.now(),
        gate,
        shed: () => this.shed(connection),
      },
      progress: new ConnectionProgress(this.bounds),
      unanswered: new Map(),
      queued: [],
      handling: 0,
      unsent: new Set(),
      bytesRead: undefined,
      latest: undefined,
      isEnding: false,
    };
    this.connections.set(socket, connection);
    closeAfterResponse(socket);
    socket.once('close', () => this.remove(connection));
    return true;
  }

  /** Closes connections that make no progress, once a second until `stopSweep`. */
  startSweep(getTimes: () => ProgressTimes): void {
    this.timer = setInterval(() => this.sweep(getTimes()), sweepMs).unref();
  }

  /** Stops the sweep. */
  stopSweep(): void {
    clearInterval(this.timer);
  }

  /** From now on, the last response on each connection says that it closes. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Makes a response the last one on its connection if no later request has been read. */
  markLast(socket: Socket, response: ServerResponse): void {
    response.setHeader('connection', 'close');
    const connection = this.connections.get(socket);
    if (connection) connection.isEnding = true;
  }

  /** Stops reading a connection whose last response is being sent. */
  stopReading(socket: Socket): void {
    this.connections.get(socket)?.gate.pause(unwanted);
  }

  /** Sets the workspace that a connection's requests belong to. */
  setWorkspace(socket: Socket, workspace: string | undefined): void {
    const holder = this.connections.get(socket)?.holder;
    if (holder) Object.assign(holder, { workspace });
  }

  /** Returns a function that sets the number of bytes that a request's body or response holds. */
  trackMemory(socket: Socket): (bytes: number) => void {
    const holder = this.connections.get(socket)?.holder;
    let held = 0;
    return (bytes) => {
      if (!holder || socket.destroyed) return;
      const added = bytes - held;
      held = bytes;
      this.memory.change(holder, added);
    };
  }

  /**
   * Tracks a request and starts it when it is its turn; returns false if it can't be answered, because the
   * response before it has said that the connection closes or because too many requests are unanswered.
   */
  begin(socket: Socket, request: ArrivedRequest): boolean {
    const connection = this.connections.get(socket);
    this.arrivals += 1;
    if (!connection || connection.isEnding || socket.destroyed) return false;
    const { response } = request;
    const { unanswered } = connection;
    if (unanswered.size >= this.bounds.maxPipelined) {
      this.close(connection, CloseReason.pipelined);
      return false;
    }
    this.limit.markBusy(socket);
    this.handling += 1;
    connection.handling += 1;
    connection.latest = response;
    // The time for which the connection was idle is no time without progress.
    if (unanswered.size === 0) connection.holder.progressAt = this.clock.now();
    unanswered.set(response, request);
    this.memory.change(connection.holder, request.bytes);
    beforeHead(response, () => {
      if (this.isDraining && connection.latest === response) this.markLast(socket, response);
    });
    response.once('finish', () => this.handleSent(connection, response));
    if (unanswered.size >= this.bounds.maxHandled) connection.gate.pause(pipelined);
    if (unanswered.size === 1) {
      request.start();
      return true;
    }
    // Whether a read brings too many requests is known when all of it has been parsed.
    if (connection.queued.push(request) === 1) setImmediate(() => this.startQueued(connection));
    return true;
  }

  /** Records that a request has been handled; its response may be unsent. */
  end(socket: Socket, response: ServerResponse): void {
    this.handling -= 1;
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.handling -= 1;
    if (!response.writableFinished) connection.unsent.add(response);
    this.closeIfDue(connection);
  }

  /** Closes idle connections, now and as soon as others become idle. */
  closeIdle(): void {
    this.isClosing = true;
    this.connections.forEach((connection) => this.closeIfDue(connection));
  }

  private handleSent(connection: Connection, response: ServerResponse): void {
    const { socket, unanswered, unsent, holder, gate } = connection;
    // A response whose connection was closed finishes, too; what it held has been released.
    if (socket.destroyed) return;
    unsent.delete(response);
    Object.assign(connection, { bytesRead: socket.bytesRead });
    const request = unanswered.get(response);
    if (request && unanswered.delete(response)) this.memory.change(holder, -request.bytes);
    holder.progressAt = this.clock.now();
    this.startQueued(connection);
    if (unanswered.size < this.bounds.maxHandled) gate.resume(pipelined);
    if (unanswered.size === 0) this.limit.markIdle(socket);
    this.closeIfDue(connection);
  }

  private startQueued({ unanswered, queued }: Connection): void {
    const { maxHandled } = this.bounds;
    while (queued.length > 0 && unanswered.size - queued.length < maxHandled)
      queued.shift()!.start();
  }

  private remove(connection: Connection): void {
    const { socket, holder, queued, unanswered } = connection;
    this.connections.delete(socket);
    this.memory.remove(holder);
    // Queued requests are not handled any more, so nothing else ends them.
    this.handling -= queued.length;
    queued.length = 0;
    const open = [...unanswered.values()];
    unanswered.clear();
    open.forEach(({ abort }) => abort());
  }

  private shed(connection: Connection): void {
    const [first, second] = connection.unanswered.values();
    if (first && !second && first.refuse()) return;
    this.close(connection, CloseReason.memory);
  }

  private close(connection: Connection, reason: CloseReason): void {
    const { socket, holder } = connection;
    if (socket.destroyed) return;
    this.onClose(reason, socket);
    socket.destroy();
    this.memory.remove(holder);
  }

  private sweep(times: ProgressTimes): void {
    this.connections.forEach((connection) => {
      const { socket, progress, unanswered, handling, unsent } = connection;
      const overdue = progress.check(
        socket,
        {
          bytesReadBefore: connection.bytesRead ?? 0,
          isWaiting: unanswered.size === 0,
          isUnread: handling === 0 && unsent.size > 0,
        },
        times,
      );
      if (overdue) this.close(connection, overdue);
    });
  }

  private closeIfDue(connection: Connection): void {
    // Ending the connection first would leave time to read a request that gets no response.
    if (this.isClosing && CallerConnections.isIdle(connection)) connection.socket.destroy();
  }

  /** Whether a connection's responses have been sent and nothing of a further request was read. */
  private static isIdle({ socket, handling, unsent, bytesRead, isEnding }: Connection): boolean {
    // The HTTP server closes it after its last response.
    if (isEnding || handling > 0 || unsent.size > 0) return false;
    return socket.writableLength === 0 && socket.bytesRead === bytesRead;
  }
}
