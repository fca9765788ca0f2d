import { ResponseCollector, ConnectionPool, EndpointCall } from '@laburnumstream/forwarding';
import { HttpClient, HttpPlainService, HttpWeightOrigin } from '@laburnumstream/clients';
import { EngineClient, OriginClient, StoreClient, platformHeaders } from '@laburnumstream/platform';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { PeerClient } from '@laburnumstream/sidecar';

/** Reads one answer of an address IP:PORT; rejects when it is not whole. Undefined: no body is told. */
export type AnswerReader = (address: string) => Promise<string | undefined>;

const timeoutMs = 1_000;

const textOf = (bytes: Uint8Array): string => Buffer.from(bytes).toString();

/** Sends one request through an entry's connections to an endpoint. */
export function callThrough(pool: ConnectionPool, id: string, method = 'GET') {
  const collector = new ResponseCollector();
  const request = { method, path: '/', id, headers: [], body: Buffer.alloc(0) };
  new EndpointCall(pool, request, Infinity, platformHeaders, collector).start();
  return collector.outcome;
}

/** Sends one request to an endpoint as an entry does. */
export async function callEndpoint(address: string, method = 'GET') {
  const pool = new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
  const outcome = await callThrough(pool, 'r1', method);
  pool.closeIdle();
  return outcome;
}

/** The outcome of the second of two requests, `r1` and `r2`, in turn. */
export async function secondOutcome(address: string) {
  const pool = new ConnectionPool(address, new SystemClock(), new HistogramMetrics());
  await callThrough(pool, 'r1');
  const second = await callThrough(pool, 'r2');
  pool.closeIdle();
  return second;
}

/** All readers of answers over HTTP. */
export const answerReaders: Readonly<Record<string, AnswerReader>> = {
  'an entry': async (address) => {
    const outcome = await callEndpoint(address);
    if (outcome.kind === 'answer') return outcome.response.body.toString();
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
    return textOf(Buffer.concat(parts));
  },
  'the client of weights': async (address) =>
    textOf(await new HttpWeightOrigin(`http://${address}`, timeoutMs).chunk('m', '1', 0)),
  'the client of the store': async (address) => {
    await new StoreClient(address).renewLease('1');
    return undefined;
  },
  'the client of the origin': async (address) =>
    textOf(await new OriginClient().getPiece(address, 'm', 1, 0)),
  'the client of an engine': async (address) =>
    textOf(await new EngineClient(address).getStagedPiece('m', 0)),
  'the client of other agents': async (address) => {
    const [host = '', port] = address.split(':');
    const signal = AbortSignal.timeout(timeoutMs);
    return textOf(await new PeerClient(Number(port)).getPiece(host, 1, 0, signal));
  },
};
