import type { Transport } from '@connectrpc/connect';
import type { RunFrame } from '@laburnumstream/protocol';
import type { LinkPool } from './linkPool.js';
import { RunSession } from './runSession.js';
import type { RunMessage } from './runSession.js';

interface OpenSession {
  readonly session: RunSession;
  readonly transport: Transport;
  readonly abort: AbortController;
}

/** Keeps one session for each agent and replaces sessions that have ended. */
export class RunSessions {
  private readonly sessions = new Map<string, OpenSession>();

  constructor(
    private readonly links: LinkPool,
    private readonly signal: AbortSignal,
  ) {}

  /** Runs a request at an agent; see `RunSession.run`. */
  run(address: string, message: RunMessage, signal: AbortSignal): AsyncGenerator<RunFrame> {
    return this.sessionTo(address).run(message, signal);
  }

  /** Closes the session and the link to an unresponsive agent; the next run opens new ones. */
  drop(address: string): void {
    this.sessions.get(address)?.abort.abort();
    this.sessions.delete(address);
    this.links.drop(address);
  }

  private sessionTo(address: string): RunSession {
    const known = this.sessions.get(address);
    const transport = this.links.transportTo(address);
    const isCurrent = known?.transport === transport && !known.session.isClosed;
    if (known && isCurrent) return known.session;
    // When the pool has replaced the link, running requests end on the old one.
    known?.session.closeWhenIdle();
    const abort = new AbortController();
    const signal = AbortSignal.any([this.signal, abort.signal]);
    const session = new RunSession(transport, signal);
    this.sessions.set(address, { session, transport, abort });
    return session;
  }
}
