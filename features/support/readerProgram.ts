import { heapReaders } from './heapReaders.js';
import { responseReaders } from './responseReaders.js';

/** Reads responses with the client that the arguments name, from the address after it, and prints the outcome. */
const [, , name = '', address = ''] = process.argv;
const read = heapReaders[name] ?? responseReaders[name]!;
const outcome = await read(address).then(
  (body) => (name in heapReaders ? String(body) : `${body?.length ?? 0} bytes`),
  (error: unknown) => String(error),
);
process.stdout.write(outcome, () => process.exit());
