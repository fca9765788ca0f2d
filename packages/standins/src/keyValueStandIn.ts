import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './httpStandIn.js';

interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: string;
}

interface Lease {
  readonly ttlMs: number;
  expiryTimer: NodeJS.Timeout;
}

const maxValueBytes = 1_048_576;

/** A stand-in for the platform's key-value service: compare-and-swap, leases and watches. */
export class KeyValueStandIn extends HttpStandIn {
  private readonly values = new Map<string, StoredValue>();

  private readonly leases = new Map<string, Lease>();

  private readonly waiters = new Set<() => void>();

  private revision = 0;

  /** Calls handled; a long-polling watch counts as one. */
  readonly calls = { reads: 0, writes: 0, watches: 0 };

  /** Reads a value without counting a call in {@link calls}. */
  peek(key: string): string | undefined {
    return this.values.get(key)?.value;
  }

  override async stop(): Promise<void> {
    this.leases.forEach(({ expiryTimer }) => clearTimeout(expiryTimer));
    await super.stop();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: string,
  ): Promise<void> {
    const [, kind, name = ''] = url.pathname.split('/');
    const key = decodeURIComponent(name);
    const method = request.method ?? 'GET';
    if (method === 'GET' && url.searchParams.has('after')) this.calls.watches += 1;
    else if (method === 'GET') this.calls.reads += 1;
    else this.calls.writes += 1;
    if (kind === 'leases') this.handleLease(method, key, url, response);
    else if (method === 'GET' && key) await this.handleGet(key, url, request, response);
    else if (method === 'GET') this.handleList(url, response);
    else if (method === 'PUT') this.handlePut(key, url, body, response);
    else this.handleDelete(key, url, response);
  }

  private handleLease(method: string, id: string, url: URL, response: ServerResponse): void {
    if (method === 'POST') {
      this.revision += 1;
      const lease = `lease-${this.revision}`;
      const ttlMs = Number(url.searchParams.get('ttlMs'));
      this.leases.set(lease, { ttlMs, expiryTimer: this.startExpiryTimer(lease, ttlMs) });
      this.send(response, 200, { lease });
      return;
    }
    const existing = this.leases.get(id);
    if (!existing) {
      this.send(response, 404);
      return;
    }
    clearTimeout(existing.expiryTimer);
    if (method === 'PUT') existing.expiryTimer = this.startExpiryTimer(id, existing.ttlMs);
    else this.endLease(id);
    this.send(response, 200);
  }

  private startExpiryTimer(lease: string, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => this.endLease(lease), ttlMs);
  }

  private endLease(lease: string): void {
    this.leases.delete(lease);
    [...this.values.values()]
      .filter((stored) => stored.lease === lease)
      .forEach(({ key }) => this.remove(key));
  }

  private async handleGet(
    key: string,
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!url.searchParams.has('after')) {
      const stored = this.values.get(key);
      this.send(response, stored ? 200 : 404, stored ?? {});
      return;
    }
    const after = Number(url.searchParams.get('after'));
    const deadline = Date.now() + Number(url.searchParams.get('waitMs'));
    while ((this.values.get(key)?.revision ?? 0) <= after && Date.now() < deadline) {
      if (request.socket.destroyed) return;
      await this.waitForChange(deadline - Date.now());
    }
    const stored = this.values.get(key);
    if (this.faults.down) request.socket.destroy();
    else if (stored && stored.revision > after) this.send(response, 200, stored);
    else this.send(response, 204);
  }

  private handleList(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const found = [...this.values.values()].filter(({ key }) => key.startsWith(prefix));
    this.send(response, 200, found);
  }

  private handlePut(key: string, url: URL, body: string, response: ServerResponse): void {
    const ifRevision = url.searchParams.get('ifRevision');
    const lease = url.searchParams.get('lease') ?? '';
    const revision = this.values.get(key)?.revision ?? 0;
    if (Buffer.byteLength(body) > maxValueBytes) this.send(response, 413);
    else if (lease && !this.leases.has(lease)) this.send(response, 404);
    else if (ifRevision !== null && Number(ifRevision) !== revision) this.send(response, 409);
    else {
      this.revision += 1;
      this.values.set(key, { key, value: body, revision: this.revision, lease });
      this.wakeWaiters();
      this.send(response, 200, { revision: this.revision });
    }
  }

  private handleDelete(key: string, url: URL, response: ServerResponse): void {
    const ifRevision = url.searchParams.get('ifRevision');
    const revision = this.values.get(key)?.revision ?? 0;
    if (revision === 0) this.send(response, 404);
    else if (ifRevision !== null && Number(ifRevision) !== revision) this.send(response, 409);
    else {
      this.remove(key);
      this.send(response, 200);
    }
  }

  private remove(key: string): void {
    this.revision += 1;
    this.values.delete(key);
    this.wakeWaiters();
  }

  /** Resolves at the next change of any key, at the latest after `ms`. */
  private waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const cancelTimer = new AbortController();
      const wake = (): void => {
        cancelTimer.abort();
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      sleep(Math.max(1, ms), undefined, { signal: cancelTimer.signal }).then(wake, () => undefined);
    });
  }

  private wakeWaiters(): void {
    [...this.waiters].forEach((wake) => wake());
  }
}
