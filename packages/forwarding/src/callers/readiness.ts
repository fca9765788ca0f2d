import { createServer } from 'node:http';

/** Serves the load balancer's readiness check: 200 while `isReady` returns true, 503 otherwise. */
export function serveReadiness(
  host: string,
  port: number,
  isReady: () => boolean,
  signal: AbortSignal,
): Promise<void> {
  const server = createServer((_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': '0' });
    response.end();
  });
  signal.addEventListener('abort', () => server.close());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
