import { ByteCollector, ResponseTooLarge } from '@laburnumstream/common';

/**
 * Reads the body of a response as a whole, at the cost of its size whatever the number of its chunks. Throws
 * `ResponseTooLarge`, which closes the connection.
 */
export async function readResponseBody(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  const collector = new ByteCollector();
  for await (const bytes of body) {
    if (collector.length + bytes.length > maxBytes)
      throw new ResponseTooLarge(`its body has more than ${maxBytes} bytes`);
    collector.push(bytes);
  }
  return collector.take();
}
