import { createHash } from 'node:crypto';
import { hash32 } from '@laburnumstream/common';

const shortestPayload = 40;
const payloadSpread = 6_000;
const fewestEvents = 4;
const eventSpread = 16;

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** The right answer of the plain service: the request's id, a digest and the payload. */
export function plainAnswer(id: string): string {
  const size = shortestPayload + (hash32(id) % payloadSpread);
  const payload = sha256(id)
    .repeat(Math.ceil(size / 64))
    .slice(0, size);
  return `${id} ${sha256(`${id} ${payload}`)} ${payload}`;
}

/** What is wrong with an answer of the plain service; undefined when it is whole. */
export function plainFault(id: string, body: string): string | undefined {
  const [of = '', digest, payload = ''] = body.split(' ');
  if (of !== id) return `is of ${of.slice(0, 40) || 'nobody'}`;
  return digest === sha256(`${id} ${payload}`) ? undefined : `is cut after ${body.length} bytes`;
}

/** Events of the stream that answers a request. */
export function eventsOf(id: string): number {
  return fewestEvents + (hash32(id) % eventSpread);
}

/** One event of a stream. */
export function eventText(id: string, event: number, version: number): string {
  return `id: ${event}\ndata: ${id} ${event} ${eventsOf(id)} ${version}\n\n`;
}

/** What is wrong with a stream; undefined when nothing is. */
export function streamFault(id: string, body: string, isComplete: boolean): string | undefined {
  const parts = body.split('\n\n');
  const rest = parts.pop();
  if (isComplete && rest) return 'ends within an event';
  let last = 0;
  for (const part of parts) {
    const [, of, event, ,] = /^id: \d+\ndata: (\S+) (\d+) (\d+) (\d+)$/.exec(part) ?? [];
    if (of !== id) return `holds an event of ${of ?? 'nobody'}`;
    if (Number(event) !== last + 1) return `has event ${event} after ${last}`;
    last += 1;
  }
  if (isComplete && last !== eventsOf(id)) return `ends after ${last} of ${eventsOf(id)} events`;
  return undefined;
}
