import { createServer } from 'node:net';

/** First port; all blocks lie below the ephemeral port range of the system. */
const firstPort = 10_240;
const blockPorts = 200;
const blocks = 110;
/** Distributes adjacent process ids over the blocks. */
const stride = 37;

const block = (process.pid * stride) % blocks;
let next = 0;

function canListen(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function freePort(): Promise<number> {
  while (true) {
    const port = firstPort + block * blockPorts + (next % blockPorts);
    next += 1;
    if (await canListen(port)) return port;
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
