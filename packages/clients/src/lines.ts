/**
 * Splits a stream of bytes into lines. Hot path: one text for each piece of the stream and each line,
 * without the streams that `node:readline` puts in between.
 */
export async function* splitLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const bytes of body) {
    const lines = (rest + decoder.decode(bytes, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    yield* lines;
  }
  if (rest !== '') yield rest;
}
