import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { TokenBucket } from './tokenBucket.js';

/** A TCP relay whose connections share the bandwidth of one link for what the target sends. */
export class NarrowLink {
  /** Bytes that the target's responses have put on the link. */
  transmittedBytes = 0;

  private readonly bucket: TokenBucket;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly targetPort: number,
    bytesPerSecond: number,
  ) {
    this.bucket = new TokenBucket(bytesPerSecond);
    this.server = createServer((downstream) => this.accept(downstream));
  }

  /** Listens on the loopback interface and forwards to a port there. */
  static async start(targetPort: number, bytesPerSecond: number): Promise<NarrowLink> {
    const link = new NarrowLink(targetPort, bytesPerSecond);
    await new Promise<void>((resolve, reject) => {
      link.server.once('error', reject);
      link.server.listen(0, '127.0.0.1', () => resolve());
    });
    return link;
  }

  /** IP:PORT */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(downstream: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1');
    [downstream, upstream].forEach((socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        this.sockets.delete(socket);
        downstream.destroy();
        upstream.destroy();
      });
    });
    downstream.on('data', (bytes) => upstream.write(bytes));
    upstream.on('data', (bytes) => void this.transmit(bytes, upstream, downstream));
  }

  /** Forwards bytes at the link's rate; nothing more is read from the connection meanwhile. */
  private async transmit(bytes: Buffer, from: Socket, to: Socket): Promise<void> {
    from.pause();
    this.transmittedBytes += bytes.length;
    await this.bucket.consume(bytes.length);
    if (to.destroyed) return;
    to.write(bytes);
    from.resume();
  }
}
