/**
 * Splits a byte stream into lines. Hot path: allocates one string per chunk and per line, and avoids
 * the intermediate streams of `node:readline`.
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
