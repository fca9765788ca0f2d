import {
  ResponseCollector,
  ConnectionPool,
  EndpointCall,
  FeedClient,
} from '@laburnumstream/forwarding';
import { HttpClient, HttpPlainService, HttpWeightOrigin } from '@laburnumstream/clients';
import { EngineClient, OriginClient, StoreClient, platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { PeerClient } from '@laburnumstream/sidecar';

/**
 * Sends a request to an address IP:PORT and returns the response's body, or undefined when the
 * client does not expose it; rejects when the response is incomplete.
 */
export type ResponseReader = (address: string) => Promise<string | undefined>;

const timeoutMs = 1_000;

const decodeText = (bytes: Uint8Array): string => Buffer.from(bytes).toString();

/** Sends one request over a connection pool of an entry. */
export function sendThroughPool(pool: ConnectionPool, id: string, method = 'GET') {
  const collector = new ResponseCollector();
  const request = { method, path: '/', id, headers: [], body: Buffer.alloc(0) };
  new EndpointCall(pool, request, Infinity, platformHeaders, collector).start();
  return collector.outcome;
}

/** Sends one request to an endpoint as an entry does, over a new connection pool. */
export async function callEndpoint(address: string, method = 'GET') {
  const pool = new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
  const outcome = await sendThroughPool(pool, 'r1', method);
  pool.closeIdle();
  return outcome;
}

/** Sends requests `r1` and `r2` one after the other over one pool; returns the second outcome. */
export async function getSecondOutcome(address: string) {
  const pool = new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
  await sendThroughPool(pool, 'r1');
  const second = await sendThroughPool(pool, 'r2');
  pool.closeIdle();
  return second;
}

/** All HTTP clients of the project, by the names that step texts use. */
export const responseReaders: Readonly<Record<string, ResponseReader>> = {
  'an entry': async (address) => {
    const outcome = await callEndpoint(address);
    if (outcome.kind === 'response') return outcome.response.body.toString();
    throw new TypeError(outcome.fault);
  },
  'the client of plain services': async (address) => {
    const service = new HttpPlainService(`http://${address}`, timeoutMs);
    const { body } = await service.call(
      { method: 'GET', path: '/x' } as Parameters<HttpPlainService['call']>[0],
      AbortSignal.timeout(timeoutMs),
    );
    return body;
  },
  'a stream of the HTTP client': async (address) => {
    const client = new HttpClient(`http://${address}`, timeoutMs);
    const { body } = await client.stream({ method: 'GET', path: '/' });
    const parts: Buffer[] = [];
    for await (const part of body) parts.push(part);
    return decodeText(Buffer.concat(parts));
  },
  'the client of weights': async (address) =>
    decodeText(await new HttpWeightOrigin(`http://${address}`, timeoutMs).chunk('m', '1', 0)),
  'the client of the store': async (address) => {
    await new StoreClient(address).renewLease('1');
    return undefined;
  },
  'the client of the origin': async (address) =>
    decodeText(await new OriginClient().getPiece(address, 'm', 1, 0)),
  'the client of an engine': async (address) =>
    decodeText(await new EngineClient(address).getStagedPiece('m', 0)),
  'the client of other entries': async (address) => {
    await new FeedClient().read(address, { revision: 0 }, 0, AbortSignal.timeout(timeoutMs));
    return undefined;
  },
  'the client of other agents': async (address) => {
    const [host = '', port] = address.split(':');
    const signal = AbortSignal.timeout(timeoutMs);
    return decodeText(await new PeerClient(Number(port)).getPiece(host, 1, 0, signal));
  },
};
