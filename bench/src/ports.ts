import { createServer } from 'node:net';
import { Failure } from '@laburnumstream/common';

/** First port; all blocks lie below the ephemeral port range of the system. */
const firstPort = 10_240;
const blockPorts = 200;
const blocks = 110;
/** Distributes adjacent process ids over the blocks. */
const stride = 37;

let ownBlock: Promise<number> | undefined;
let next = 0;

/** Listens on a port for as long as this process runs; resolves with whether the port was free. */
function holdPort(port: number): Promise<boolean> {
  const server = createServer().unref();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
}

/**
 * Claims a block of ports for this process, `preferred` or the next that no other process has, by
 * holding its first port.
 */
export async function claimPortBlock(preferred: number): Promise<number> {
  for (let offset = 0; offset < blocks; offset += 1) {
    const block = (preferred + offset) % blocks;
    if (await holdPort(firstPort + block * blockPorts)) return block;
  }
  throw new Failure('no_ports', 'Other processes hold all blocks of ports.');
}

function canListen(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function freePort(): Promise<number> {
  ownBlock ??= claimPortBlock((process.pid * stride) % blocks);
  const start = firstPort + (await ownBlock) * blockPorts;
  while (true) {
    // The first port of a block marks it as claimed.
    const port = start + 1 + (next % (blockPorts - 1));
    next += 1;
    if (await canListen(port)) return port;
  }
}

/**
 * Returns free ports of 127.0.0.1 from a block that belongs to this process alone, so that a program
 * under test that was killed finds its port still free when it restarts.
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
