import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { Http2SessionManager } from '@connectrpc/connect-node';

type RequestArguments = Parameters<Http2SessionManager['request']>;

const ignoreError = (): void => undefined;

/**
 * A session manager with an error listener on each connection. The base class removes its own listener
 * when it is aborted. A connection that was destroyed by a ping timeout just before emits its error
 * after that, and without a listener the error would end the process. Callers learn of the failure
 * from their streams.
 */
export class GuardedSessionManager extends Http2SessionManager {
  private readonly guardedSessions = new WeakSet<ClientHttp2Session>();

  override async request(...args: RequestArguments): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args);
    const { session } = stream;
    if (session && !this.guardedSessions.has(session as ClientHttp2Session)) {
      this.guardedSessions.add(session as ClientHttp2Session);
      session.on('error', ignoreError);
    }
    return stream;
  }
}
