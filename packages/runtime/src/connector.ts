import type { Socket } from 'node:net';
import { ConnectTimeout, InvalidInput } from '@laburnumstream/common';
import { ResetAwareSocket } from './resetAwareSocket.js';

/** Default timeout for establishing a connection, in milliseconds. */
const defaultTimeoutMs = 10_000;
const defaultPort = 80;

/** Target of a connection, in the form that undici passes to connectors. */
export interface ConnectorTarget {
  readonly protocol: string;
  readonly hostname: string;
  /** Empty for the default port. */
  readonly port: string;
}

/** Receives the established connection or the error. */
export type ConnectorCallback = (
  ...result: [error: null, socket: Socket] | [error: Error, socket: null]
) => void;

/** Establishes connections for an undici client. */
export type Connector = (target: ConnectorTarget, callback: ConnectorCallback) => void;

/**
 * Creates a connector for the `connect` option of undici's clients. On its connections a reset is
 * never mistaken for the end of a response. A connection that is not established within `timeoutMs`
 * fails with `ConnectTimeout`. `onConnecting` is called with each socket before it connects. With
 * `resetsWhenDestroyed`, a connection that the client destroys is reset instead of ended.
 */
export function createConnector(
  timeoutMs = defaultTimeoutMs,
  onConnecting: (socket: ResetAwareSocket) => void = () => undefined,
  resetsWhenDestroyed = false,
): Connector {
  return ({ protocol, hostname, port }, callback) => {
    if (protocol !== 'http:') {
      callback(new InvalidInput(`Only http: addresses can be reached, not ${protocol}`), null);
      return;
    }
    const socket = new ResetAwareSocket(resetsWhenDestroyed);
    const timer = setTimeout(() => socket.destroy(new ConnectTimeout()), timeoutMs);
    let isOpen = false;
    socket.setNoDelay(true);
    socket.once('close', () => clearTimeout(timer));
    // Once the connection is open, the client's own listener handles errors.
    socket.on('error', (error) => {
      if (!isOpen) callback(error, null);
    });
    socket.once('connect', () => {
      isOpen = true;
      clearTimeout(timer);
      callback(null, socket);
    });
    onConnecting(socket);
    socket.connect(Number(port) || defaultPort, hostname);
  };
}
