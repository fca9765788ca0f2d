import { ResponseTooLarge } from '@laburnumstream/common';

/** Maximum length of a line, in UTF-16 code units: usually it is one token. */
const maxLineLength = 4_194_304;

/**
 * Splits a byte stream into lines. Hot path: allocates one string per chunk and per line, and avoids
 * the intermediate streams of `node:readline`. Throws `ResponseTooLarge` for a line without end.
 */
export async function* splitLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const bytes of body) {
    const lines = (rest + decoder.decode(bytes, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > maxLineLength)
      throw new ResponseTooLarge(`a line has more than ${maxLineLength} characters`);
    yield* lines;
  }
  if (rest !== '') yield rest;
}
