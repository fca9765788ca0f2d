import { createBoundedServer } from '@laburnumstream/runtime';

/** Bounds of the server: a few load balancers ask every second or so. */
const bounds = { maxConnections: 64, maxPipelined: 4 };

/** Serves the load balancer's readiness check: 200 while `isReady` returns true, 503 otherwise. */
export function serveReadiness(
  host: string,
  port: number,
  isReady: () => boolean,
  signal: AbortSignal,
  /** Called for each connection that is closed because of a bound. */
  onClose: () => void = () => undefined,
): Promise<void> {
  const server = createBoundedServer(
    (_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'content-length': '0' });
      response.end();
    },
    bounds,
    onClose,
  );
  signal.addEventListener('abort', () => server.close());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
