import type { Log } from '@laburnumstream/common';
import { toFailure } from '@laburnumstream/common';
import type { HistogramMetrics } from './histogramMetrics.js';
import { listen } from './httpServer.js';

/** Path at which metrics are served. */
const metricsPath = '/metrics';

/**
 * Serves metrics at an IP:PORT address. A port that is taken costs the metrics and is logged: the
 * process goes on.
 */
export async function serveMetrics(
  address: string,
  metrics: HistogramMetrics,
  log: Log,
  signal: AbortSignal,
): Promise<void> {
  try {
    await listen(
      address,
      (request, response) => {
        const isKnown = request.url === metricsPath;
        const body = isKnown ? metrics.render() : '';
        response.writeHead(isKnown ? 200 : 404, {
          'content-type': 'text/plain; version=0.0.4',
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
      },
      signal,
    );
  } catch (error) {
    log.error('Metrics are not served.', { address, reason: toFailure(error).message });
  }
}
