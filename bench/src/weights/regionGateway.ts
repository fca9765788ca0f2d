import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { request } from 'undici';
import { TokenBucket } from '@laburnumstream/standins';

/** A rate-limited link between regions: forwards `http://GATEWAY/PORT/PATH` to the local port PORT. */
export class RegionGateway {
  forwardedBytes = 0;

  private readonly server: Server;

  private readonly link: TokenBucket;

  constructor(
    private readonly port: number,
    bytesPerSecond: number,
  ) {
    this.link = new TokenBucket(bytesPerSecond);
    this.server = createServer((incoming, response) => {
      const [, target = '', ...path] = (incoming.url ?? '').split('/');
      this.forward(`http://127.0.0.1:${target}/${path.join('/')}`).then(
        ({ status, body }) => response.writeHead(status).end(body),
        () => response.destroy(),
      );
    });
  }

  get address(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(this.port, '127.0.0.1', resolve);
    });
    return this;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private async forward(url: string): Promise<{ status: number; body: Buffer }> {
    const { statusCode, body } = await request(url, { headersTimeout: 0, bodyTimeout: 0 });
    const bytes = Buffer.from(await body.arrayBuffer());
    if (statusCode === 200) {
      await this.link.consume(bytes.length);
      this.forwardedBytes += bytes.length;
    }
    return { status: statusCode, body: bytes };
  }
}
