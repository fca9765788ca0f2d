import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { OutcomeUnknown, toFailure } from '@laburnumstream/common';
import type { Log } from '@laburnumstream/common';
import { failureBody, sendJson } from '@laburnumstream/runtime';
import type { ResponsePart } from './callerRequest.js';

/** Sends a server-sent event; when the socket buffer is full, waits until it drains or closes. */
async function sendEvent(response: ServerResponse, event: string, data: unknown): Promise<void> {
  const accepted = response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
  if (accepted || response.destroyed) return;
  const abort = new AbortController();
  const { signal } = abort;
  const events = ['drain', 'close'].map((name) => once(response, name, { signal }));
  await Promise.any(events).catch(() => undefined);
  abort.abort();
}

/** Sends the response of a plain service once it is complete. */
export async function sendCallResponse(
  parts: AsyncIterable<ResponsePart>,
  response: ServerResponse,
): Promise<void> {
  let callResponse: { readonly status: number; readonly body: string } | undefined;
  for await (const part of parts) {
    if (part.kind === 'answer') callResponse = part;
  }
  if (!callResponse) throw new OutcomeUnknown('The answer has no content.');
  response.writeHead(callResponse.status, { 'content-type': 'application/json' });
  response.end(callResponse.body);
}

/** Sends a completion as one JSON object once it is complete. */
export async function sendCompletion(
  id: string,
  parts: AsyncIterable<ResponsePart>,
  response: ServerResponse,
): Promise<void> {
  const texts: string[] = [];
  let digest = '';
  for await (const part of parts) {
    if (part.kind === 'tokens') texts.push(...part.texts);
    if (part.kind === 'end') digest = part.digest;
  }
  sendJson(response, 200, { id, text: texts.join(''), count: texts.length, digest });
}

/** Streams a completion as server-sent events; an interrupted one ends with an error event. */
export async function streamCompletion(
  id: string,
  parts: AsyncIterable<ResponsePart>,
  response: ServerResponse,
  log: Log,
): Promise<void> {
  try {
    for await (const part of parts) {
      if (!response.headersSent) {
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'cache-control': 'no-store',
          'request-id': id,
        });
      }
      const { kind, ...data } = part;
      await sendEvent(response, kind, data);
    }
    response.end();
  } catch (error) {
    if (!response.headersSent) throw error;
    log.debug('Stream cut.', { id, reason: String(error) });
    await sendEvent(response, 'error', failureBody(toFailure(error)).error);
    response.end();
  }
}
