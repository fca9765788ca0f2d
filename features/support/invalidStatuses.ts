import type { Behaviour } from '@laburnumstream/standins';
import { buildHeaders } from '@laburnumstream/standins';

/** Statuses of status lines that are neither final nor interim ones of HTTP. */
export const invalidStatuses = ['000', '001', '099', '600', '700', '999'] as const;

/** Time between two interim responses, in milliseconds. */
const interimIntervalMs = 5;
/** Interim responses that are sent at most: more than fit into any deadline of the tests. */
const maxInterim = 4_000;
const body = 'whole answer';
const events = 'id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n';

/** Formats a response with a status as it stands in the status line. */
export function formatResponse(status: string, headers: Readonly<Record<string, string>>): string {
  const isStream = headers['content-type'] === 'text/event-stream';
  const content = isStream ? events : body;
  const all = { ...headers, 'content-length': String(content.length) };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Odd\r\n${lines.join('')}\r\n${content}`;
}

/** Answers each request with a status as it stands in the status line. */
export function answerWithStatus(status: string): Behaviour {
  return (request, _response, engine) => {
    const isStream = /^\/(stream|single)\//.test(request.url ?? '');
    const type = isStream ? { 'content-type': 'text/event-stream' } : {};
    request.socket.write(formatResponse(status, { ...buildHeaders(request, engine), ...type }));
  };
}

/** Sends nothing but interim responses until the connection closes. */
export const sendInterimResponses: Behaviour = ({ socket }) => {
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    if (socket.destroyed || sent > maxInterim) clearInterval(timer);
    else socket.write('HTTP/1.1 103 Early Hints\r\n\r\n');
  }, interimIntervalMs);
};
