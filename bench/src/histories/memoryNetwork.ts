import { setMaxListeners } from 'node:events';
import { Aborted, AsyncQueue, LinkLost, OutcomeUnknown, Unavailable } from '@laburnumstream/common';
import type { Random } from '@laburnumstream/common';
import type { RunHandler } from '@laburnumstream/agent';
import type { RunTransport } from '@laburnumstream/entry';
import { create } from '@laburnumstream/links';
import type { RunMessage } from '@laburnumstream/links';
import { RunRequestSchema } from '@laburnumstream/protocol';
import type { RunFrame } from '@laburnumstream/protocol';
import type { Host } from './host.js';
import type { VirtualClock } from './virtualClock.js';

const maxLatencyMs = 4;
/** Longest delay after which a request is delivered although its connection is already closed. */
const maxLateMs = 8_000;
const duplicatedShare = 0.1;
const misroutedShare = 0.1;
const retryAfterMs = 200;

/** An agent that is reachable over the network. */
export interface NetworkAgent {
  readonly host: Host;
  readonly handler: RunHandler;
}

/** One connection between an entry and an agent. */
interface Connection {
  /** Silently drops all frames. */
  silent: boolean;
  readonly broken: AbortController;
}

/** Connections between entries and agents that break, go silent, duplicate and misroute frames. */
export class MemoryNetwork {
  private readonly connections = new Map<string, Connection>();

  private lastFrame: RunFrame | undefined;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly agents: ReadonlyMap<string, NetworkAgent>,
  ) {}

  /** Returns the transport of one entry. */
  from(entry: Host): RunTransport {
    return {
      run: (address, message, signal) => this.run(entry, address, message, signal),
      drop: (address) => this.cut(entry.name, address),
    };
  }

  cut(entry: string, address: string): void {
    this.connection(entry, address).broken.abort();
    this.connections.delete(`${entry}>${address}`);
  }

  silence(entry: string, address: string): void {
    this.connection(entry, address).silent = true;
  }

  private connection(entry: string, address: string): Connection {
    const key = `${entry}>${address}`;
    const known = this.connections.get(key);
    if (known) return known;
    const created = { silent: false, broken: new AbortController() };
    setMaxListeners(0, created.broken.signal);
    this.connections.set(key, created);
    return created;
  }

  private latencyMs(): number {
    return this.random.next() * maxLatencyMs;
  }

  private async *run(
    entry: Host,
    address: string,
    message: RunMessage,
    signal: AbortSignal,
  ): AsyncGenerator<RunFrame> {
    const agent = this.agents.get(address)!;
    const connection = this.connection(entry.name, address);
    await entry.receive(this.clock.sleep(this.latencyMs()));
    if (!agent.host.isAlive) throw new Unavailable('Connection refused.', retryAfterMs);
    const frames = new AsyncQueue<RunFrame>();
    const reader = new AbortController();
    const end = (error: Aborted | LinkLost): void => {
      frames.fail(error);
      this.clock.at(this.latencyMs(), () => reader.abort(error));
    };
    signal.addEventListener('abort', () => end(new Aborted()), { once: true });
    connection.broken.signal.addEventListener(
      'abort',
      () => end(new LinkLost(new OutcomeUnknown('Connection broken.'))),
      { once: true },
    );
    void this.deliver(agent, connection, message, frames, reader.signal);
    const iterator = frames[Symbol.asyncIterator]();
    for (;;) {
      const next = await entry.receive(iterator.next());
      if (next.done) return;
      yield next.value;
    }
  }

  /** A request on a broken connection may stay buffered and arrive long after the entry gave up. */
  private async deliver(
    { host, handler }: NetworkAgent,
    connection: Connection,
    message: RunMessage,
    frames: AsyncQueue<RunFrame>,
    signal: AbortSignal,
  ): Promise<void> {
    const isDelayed = connection.silent || connection.broken.signal.aborted;
    await this.clock.sleep(isDelayed ? this.random.next() * maxLateMs : this.latencyMs());
    await host.whenRunning();
    for await (const frame of handler.run(create(RunRequestSchema, message), signal)) {
      await this.clock.sleep(this.latencyMs());
      await host.whenRunning();
      if (!connection.silent) this.push(frame, frames);
    }
  }

  private push(frame: RunFrame, frames: AsyncQueue<RunFrame>): void {
    const foreignFrame = this.lastFrame;
    if (foreignFrame && this.random.next() < misroutedShare) frames.push(foreignFrame);
    frames.push(frame);
    if (this.random.next() < duplicatedShare) frames.push(frame);
    this.lastFrame = frame;
  }
}
