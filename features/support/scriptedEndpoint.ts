import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Responds to one request on a connection; `request` is its bytes as Latin-1. */
export type Script = (socket: Socket, request: string) => void;

/** TCP server that responds to each request with scripted bytes. */
export class ScriptedEndpoint {
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  static async start(script: Script): Promise<ScriptedEndpoint> {
    const server = createServer();
    const endpoint = new ScriptedEndpoint(server);
    server.on('connection', (socket) => {
      endpoint.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('data', (bytes) => script(socket, bytes.toString('latin1')));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    return endpoint;
  }

  /** IP:PORT */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
