import type { Socket } from 'node:net';
import { ConnectTimeout, InvalidInput } from '@laburnumstream/common';
import { ResetAwareSocket } from './resetAwareSocket.js';

/** Time in which a connection is established unless its owner says otherwise, in milliseconds. */
const defaultTimeoutMs = 10_000;
const defaultPort = 80;

/** Where a connection goes to, as undici's clients say it. */
export interface ConnectorTarget {
  readonly protocol: string;
  readonly hostname: string;
  /** Empty for the default port. */
  readonly port: string;
}

/** Takes the connection, or the error for which there is none. */
export type ConnectorCallback = (
  ...result: [error: null, socket: Socket] | [error: Error, socket: null]
) => void;

/** Opens the connections of an undici client. */
export type Connector = (target: ConnectorTarget, callback: ConnectorCallback) => void;

/**
 * The `connect` option of undici's clients: opens connections on which a reset is never taken for the
 * end of an answer. A connection that is not established within `timeoutMs` fails with
 * `ConnectTimeout`.
 */
export function createConnector(
  timeoutMs = defaultTimeoutMs,
  onConnecting: (socket: Socket) => void = () => undefined,
): Connector {
  return ({ protocol, hostname, port }, callback) => {
    if (protocol !== 'http:') {
      callback(new InvalidInput(`Only http: addresses can be reached, not ${protocol}`), null);
      return;
    }
    const socket = new ResetAwareSocket();
    const timer = setTimeout(() => socket.destroy(new ConnectTimeout()), timeoutMs);
    let isOpen = false;
    socket.setNoDelay(true);
    socket.once('close', () => clearTimeout(timer));
    // Errors of an open connection are told to the client by its own listener.
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
