import { connect } from 'node:net';

/** Time in which a running endpoint accepts a connection, in milliseconds. */
const connectTimeoutMs = 500;

/** Resolves with whether an IP:PORT address accepts a connection, which is closed at once. */
export function acceptsConnection(address: string): Promise<boolean> {
  const [host = '', port = '0'] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  return new Promise((resolve) => {
    const finish = (isAccepted: boolean): void => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.setTimeout(connectTimeoutMs, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
