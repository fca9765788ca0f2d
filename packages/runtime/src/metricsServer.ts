import type { Log } from '@laburnumstream/common';
import { toFailure } from '@laburnumstream/common';
import type { HistogramMetrics } from './histogramMetrics.js';
import { createBoundedServer, recordClosed } from './boundedServer.js';
import { parseAddress, startListening } from './httpServer.js';

const metricsPath = '/metrics';
/** Bounds of the server: a few scrapers ask for the metrics every few seconds. */
const bounds = { maxConnections: 32, maxPipelined: 4 };

/**
 * Serves metrics on an IP:PORT address. If the port is already in use, the error is logged and the
 * process continues without serving metrics.
 */
export async function serveMetrics(
  address: string,
  metrics: HistogramMetrics,
  log: Log,
  signal: AbortSignal,
): Promise<void> {
  try {
    const server = createBoundedServer(
      (request, response) => {
        const isKnown = request.url === metricsPath;
        const body = isKnown ? metrics.render() : '';
        response.writeHead(isKnown ? 200 : 404, {
          'content-type': 'text/plain; version=0.0.4',
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
      },
      bounds,
      () => recordClosed(metrics, log, 'metrics'),
    );
    await startListening(server, parseAddress(address), signal);
  } catch (error) {
    log.error('Failed to serve metrics.', { address, reason: toFailure(error).message });
  }
}
