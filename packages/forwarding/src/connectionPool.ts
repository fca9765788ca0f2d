import type { Clock, Metrics } from '@laburnumstream/common';
import { EndpointConnection } from './endpointConnection.js';

/** Connections of this entry to one endpoint. */
export class ConnectionPool {
  private readonly idle: EndpointConnection[] = [];

  private readonly open = new Set<EndpointConnection>();

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Connections that are open or being opened. */
  get size(): number {
    return this.open.size;
  }

  /** Whether a request can be sent with at most `most` connections. */
  hasCapacity(most: number): boolean {
    return this.idle.length > 0 || this.open.size < most;
  }

  /** The connection that was used last, or a new one; idle for at most `longestIdleMs`. */
  acquire(longestIdleMs: number): EndpointConnection {
    const connection = this.idle.pop();
    if (connection && this.clock.now() - connection.idleSince <= longestIdleMs) return connection;
    connection?.destroy();
    const fresh = new EndpointConnection(
      this.address,
      (ended) => this.remove(ended),
      () => this.metrics.count('endpoint_connections'),
    );
    this.open.add(fresh);
    return fresh;
  }

  /** A request on the connection has ended well. */
  release(connection: EndpointConnection): void {
    if (!this.open.has(connection)) return;
    Object.assign(connection, { idleSince: this.clock.now() });
    this.idle.push(connection);
  }

  /** Closes connections that carry no request: they may have gone silent, or the endpoint leaves. */
  closeIdle(): void {
    this.idle.splice(0).forEach((connection) => connection.destroy());
  }

  private remove(connection: EndpointConnection): void {
    this.open.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
