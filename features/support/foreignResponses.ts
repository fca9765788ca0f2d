/** Id of the waiting request in scripted responses, and of another one. */
export const ownId = 'own-2';
const foreignId = 'other-1';

/** Body of the waiting request's answer. It has no part in common with other bodies. */
export const ownAnswerBody = 'ABCDEFGH';
const foreignBody = 'stuvwxyz';

const notExecuted = 'Laburnumstream-Not-Executed: 1\r\n';
const idLine = (id: string): string => `Laburnumstream-Request-Id: ${id}\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

function createHead(status: string, headers: string): string {
  return `HTTP/1.1 ${status}\r\n${headers}`;
}

function createLength(length: number): string {
  return `Content-Length: ${length}\r\n\r\n`;
}

const foreignHead = createHead('200 OK', idLine(foreignId));

/** The answer to the waiting request. */
export const ownAnswer = `${createHead('200 OK', idLine(ownId))}${createLength(ownAnswerBody.length)}${ownAnswerBody}`;

/** Returns the answer to a request, with a body of its own. */
export function createAnswer(id: string): string {
  return `${createHead('200 OK', idLine(id))}${createLength(id.length)}${id}`;
}

/** Larger than the bound of a dropped body, in bytes. */
const largeBytes = 5_000_000;
/** Larger than the bound of all that is not of a body, in bytes. */
const longBody = 'x'.repeat(300_000);

/** Complete responses to another request that state where they end, by the names of their framings. */
export const provenResponses: Readonly<Record<string, string>> = {
  'a length': `${foreignHead}${createLength(foreignBody.length)}${foreignBody}`,
  chunks: `${foreignHead}${chunked}3\r\nstu\r\n5\r\nvwxyz\r\n0\r\n\r\n`,
  'no content': `${foreignHead}${createLength(0)}`,
  'a large body': `${foreignHead}${createLength(longBody.length)}${longBody}`,
  refusal: `${createHead('503 Full', idLine(foreignId) + notExecuted)}${createLength(foreignBody.length)}${foreignBody}`,
};

const proven = provenResponses['a length']!;

/** What is written before the answer to the waiting request, by the names that step texts use. */
export const unprovenResponses: Readonly<Record<string, string>> = {
  'a response without a frame': `${foreignHead}\r\n${foreignBody}`,
  'a response without an id': `${createHead('200 OK', '')}${createLength(foreignBody.length)}${foreignBody}`,
  'a response with two ids': `${foreignHead}${idLine('other-0')}X-Id: ${ownId}\r\n${createLength(9)}${foreignBody}`,
  'a response with the own id and another': `${createHead('200 OK', idLine(ownId) + idLine(foreignId))}${createLength(foreignBody.length)}${foreignBody}`,
  'a response with two lengths': `${foreignHead}Content-Length: 8\r\n${createLength(foreignBody.length)}${foreignBody}`,
  'a response with a length and chunks': `${foreignHead}Content-Length: 8\r\n${chunked}8\r\n${foreignBody}\r\n0\r\n\r\n`,
  'a response whose length is too small': `${foreignHead}${createLength(3)}${foreignBody}`,
  'a response whose length is a little long': `${foreignHead}${createLength(12)}${foreignBody}`,
  'a response whose length spans the answer': `${foreignHead}${createLength(1_000)}${foreignBody}`,
  'a response without the body that it states': `${foreignHead}${createLength(foreignBody.length)}`,
  'a response with invalid chunks': `${foreignHead}${chunked}3\r\nstuvwxyz\r\n0\r\n\r\n`,
  'a response with an extension of a chunk': `${foreignHead}${chunked}8;x=1\r\n${foreignBody}\r\n0\r\n\r\n`,
  'a response with trailers': `${foreignHead}${chunked}8\r\n${foreignBody}\r\n0\r\nX-Sum: 1\r\n\r\n`,
  'a response without content by its status': `${createHead('204 None', idLine(foreignId))}\r\n`,
  'a response of an older version': proven.replace('HTTP/1.1', 'HTTP/1.0'),
  'a response that is too large': `${foreignHead}${createLength(largeBytes)}${foreignBody}`,
  'chunks that are too large': `${foreignHead}${chunked}${largeBytes.toString(16)}\r\n${'x'.repeat(largeBytes)}\r\n0\r\n\r\n`,
  'two responses': proven.repeat(2),
  'a response and one without an id': `${proven}${createHead('200 OK', '')}${createLength(foreignBody.length)}${foreignBody}`,
  'a response and a refusal without an id': `${proven}${createHead('503 Full', notExecuted)}${createLength(0)}`,
  "a refusal that runs into the answer's head": createHead('503 Full', `${notExecuted}X-Part: a`),
};
