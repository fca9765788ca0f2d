import { responseReaders } from './responseReaders.js';

/** Reads one response with the client that the arguments name, from the address after it, and prints the outcome. */
const [, , name = '', address = ''] = process.argv;
const outcome = await responseReaders[name]!(address).then(
  (body) => `${body?.length ?? 0} bytes`,
  (error: unknown) => String(error),
);
process.stdout.write(outcome, () => process.exit());
