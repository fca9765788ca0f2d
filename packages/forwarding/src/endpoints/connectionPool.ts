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

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this.open.size;
  }

  /** Whether a request can be sent without exceeding `maxConnections`, after `unsent` others that were placed. */
  hasCapacity(maxConnections: number, unsent = 0): boolean {
    const opening = Math.max(0, unsent - this.idle.length);
    return this.idle.length > unsent || this.open.size + opening < maxConnections;
  }

  /** Returns the most recently used connection if it was idle for at most `maxIdleMs`, or a new one. */
  acquire(maxIdleMs: number): EndpointConnection {
    const connection = this.idle.pop();
    if (connection && this.clock.now() - connection.idleSince <= maxIdleMs) return connection;
    connection?.destroy();
    const fresh = new EndpointConnection(
      this.address,
      (ended) => this.remove(ended),
      () => this.metrics.count('endpoint_connections'),
    );
    this.open.add(fresh);
    return fresh;
  }

  /** Returns a connection after a request on it has completed. */
  release(connection: EndpointConnection): void {
    if (!this.open.has(connection)) return;
    Object.assign(connection, { idleSince: this.clock.now() });
    this.idle.push(connection);
  }

  /** Closes idle connections, which may have died unnoticed or lead to an endpoint that is leaving. */
  closeIdle(): void {
    this.idle.splice(0).forEach((connection) => connection.destroy());
  }

  private remove(connection: EndpointConnection): void {
    this.open.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
