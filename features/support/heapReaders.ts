import { setTimeout as sleep } from 'node:timers/promises';
import { EndpointRunner } from '@laburnumstream/agent';
import { HttpModelEngine } from '@laburnumstream/clients';
import { readBody } from '@laburnumstream/runtime';

/** Reads from an address, or as many bytes as are named, and returns the outcome. */
type HeapReader = (argument: string) => Promise<string>;
type Generation = Parameters<HttpModelEngine['generate']>[0];
type RunRequest = Parameters<EndpointRunner['run']>[0];
type RunStream = Parameters<EndpointRunner['run']>[1];

const timeoutMs = 5_000;
/** Time between two refused calls, and between two tokens that a slow caller takes, in milliseconds. */
const pauseMs = 50;
/** Tokens that a slow caller takes before it leaves. */
const slowTokens = 40;
const refusedCalls = 30;
const slowCallers = 16;
const generation = { id: 'r1', maxTokens: 100, resumeFrom: 0 } as Generation;
/** Time in which connections that are no longer used must have closed, in milliseconds. */
const closingMs = 10_000;

/** Asks again after each refusal, while nothing aborts the calls. */
async function callRefused(engine: HttpModelEngine): Promise<void> {
  const { signal } = new AbortController();
  for (let call = 0; call < refusedCalls; call += 1) {
    const tokens = engine.generate(generation, signal)[Symbol.asyncIterator]();
    await tokens.next().catch(() => undefined);
    await sleep(pauseMs);
  }
}

async function callSlowly(engine: HttpModelEngine): Promise<void> {
  let tokens = 0;
  for await (const { index } of engine.generate(generation, AbortSignal.timeout(timeoutMs * 2))) {
    tokens += index + 1;
    if (tokens === slowTokens) return;
    await sleep(pauseMs);
  }
}

function countConnections(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPSocketWrap').length;
}

/** Waits until no connection is open, and returns the number of those that are left. */
async function describeConnections(): Promise<string> {
  const endAt = performance.now() + closingMs;
  while (countConnections() > 0 && performance.now() < endAt) await sleep(pauseMs);
  return `${countConnections()} connections are open`;
}

/** Yields the bytes of a body one by one. */
async function* sendBytes(count: number): AsyncGenerator<Buffer> {
  for (let sent = 0; sent < count; sent += 1) yield Buffer.from('x');
}

/** Uses of a client that are many or slow, by the names that step texts use. */
export const heapReaders: Readonly<Record<string, HeapReader>> = {
  '30 calls of an engine': async (address) => {
    await callRefused(new HttpModelEngine(`http://${address}`, timeoutMs));
    return describeConnections();
  },
  'a server of operators': async (bytes) => {
    const request = sendBytes(Number(bytes)) as unknown as Parameters<typeof readBody>[0];
    const body = await readBody(request, Number(bytes));
    return `${body.length} bytes`;
  },
  '16 slow callers of an engine': async (address) => {
    const engine = new HttpModelEngine(`http://${address}`, timeoutMs);
    await Promise.all(Array.from({ length: slowCallers }, () => callSlowly(engine)));
    return describeConnections();
  },
  'a run of an agent': async (address) => {
    const engine = new HttpModelEngine(`http://${address}`, timeoutMs);
    const runner = new EndpointRunner({ engine }, () => 'w1');
    const texts: string[] = [];
    const stream = { push: (text: string) => texts.push(text), finish: () => undefined };
    const value = { prompt: 'p', maxTokens: 100, adapter: '' };
    const request = { id: 'r1', attempt: 1, resumeFrom: 0, work: { case: 'generation', value } };
    const { signal } = new AbortController();
    // The endpoint counts as dead afterwards, as its report has no end, too.
    const describeCause = ({ cause }: Error): string => String(cause);
    return runner
      .run(request as unknown as RunRequest, stream as unknown as RunStream, 0, signal)
      .then(() => `${texts.length} tokens`, describeCause);
  },
};
