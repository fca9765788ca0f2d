import { heapReaders } from './heapReaders.js';
import { responseReaders } from './responseReaders.js';

/** Reads as the first argument names it, with the second one, and prints the outcome. */
const [, , name = '', argument = ''] = process.argv;

async function read(): Promise<string> {
  const readHeap = heapReaders[name];
  if (readHeap) return readHeap(argument);
  const body = await responseReaders[name]!(argument);
  return `${body?.length ?? 0} bytes`;
}

const outcome = await read().catch(String);
process.stdout.write(outcome, () => process.exit());
