import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { Unavailable } from '@laburnumstream/common';

/** First port; all blocks lie below the ephemeral port range of the system. */
const firstPort = 10_240;
const blockPorts = 200;
const blocks = 110;
/** Distributes adjacent process ids over the blocks. */
const stride = 37;
/** Delay after which a block may be free again, in milliseconds. */
const retryDelayMs = 1_000;

let next = 0;

function listen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/**
 * Claims a block by its first port, which stays bound while this process runs: processes that shared a
 * block would take ports from each other.
 */
async function claimBlock(): Promise<number> {
  const preferred = process.pid * stride;
  for (let index = preferred; index < preferred + blocks; index += 1) {
    const start = firstPort + (index % blocks) * blockPorts;
    const guard = await listen(start);
    if (guard) {
      guard.unref();
      return start;
    }
  }
  throw new Unavailable(`All ${blocks} blocks of ports are taken.`, retryDelayMs);
}

let claimed: Promise<number> | undefined;

async function freePort(): Promise<number> {
  claimed ??= claimBlock();
  const start = await claimed;
  while (true) {
    const port = start + 1 + (next % (blockPorts - 1));
    next += 1;
    const server = await listen(port);
    if (server) {
      await new Promise((resolve) => {
        server.close(resolve);
      });
      return port;
    }
  }
}

/**
 * Returns free ports of 127.0.0.1 from a block that belongs to this process, so that a program under
 * test that was killed finds its port still free when it restarts.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await freePort());
  return ports;
}

/** Returns the first of two consecutive free ports, as the platform reserves for an instance. */
export async function freePortPair(): Promise<number> {
  while (true) {
    const first = await freePort();
    const second = await freePort();
    if (second === first + 1) return first;
  }
}
