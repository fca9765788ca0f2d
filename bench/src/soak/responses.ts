import { createHash } from 'node:crypto';
import { hash32 } from '@laburnumstream/common';

const minPayloadChars = 40;
const payloadCharsRange = 6_000;
const minEvents = 4;
const eventsRange = 16;

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Builds a response body of the plain service: the request's id, a digest and a payload. */
export function buildPlainBody(id: string): string {
  const size = minPayloadChars + (hash32(id) % payloadCharsRange);
  const payload = sha256(id)
    .repeat(Math.ceil(size / 64))
    .slice(0, size);
  return `${id} ${sha256(`${id} ${payload}`)} ${payload}`;
}

/** Describes the fault of a response body of the plain service; undefined when it is intact. */
export function findPlainFault(id: string, body: string): string | undefined {
  const [ownerId = '', digest, payload = ''] = body.split(' ');
  if (ownerId !== id) return `belongs to ${ownerId.slice(0, 40) || 'no request'}`;
  return digest === sha256(`${id} ${payload}`)
    ? undefined
    : `has a wrong digest (${body.length} bytes, ${buildPlainBody(id).length} expected)`;
}

/** Number of events in the response stream of a request. */
export function getEventCount(id: string): number {
  return minEvents + (hash32(id) % eventsRange);
}

/** Formats one event of a response stream. */
export function formatEvent(id: string, event: number, version: number): string {
  return `id: ${event}\ndata: ${id} ${event} ${getEventCount(id)} ${version}\n\n`;
}

/** Describes the fault of a response stream; undefined when it is intact. */
export function findStreamFault(id: string, body: string, isComplete: boolean): string | undefined {
  const parts = body.split('\n\n');
  const rest = parts.pop();
  if (isComplete && rest) return 'ends within an event';
  let last = 0;
  for (const part of parts) {
    const [, ownerId, event, ,] = /^id: \d+\ndata: (\S+) (\d+) (\d+) (\d+)$/.exec(part) ?? [];
    if (ownerId !== id) return `contains an event of ${ownerId ?? 'no request'}`;
    if (Number(event) !== last + 1) return `has event ${event} after ${last}`;
    last += 1;
  }
  if (isComplete && last !== getEventCount(id)) {
    return `ends after ${last} of ${getEventCount(id)} events`;
  }
  return undefined;
}
