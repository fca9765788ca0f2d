import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { InvalidInput, NotFound } from '@laburnumstream/common';
import { RequestTimeline, parseLogLine, renderTimeline } from '../explanation.js';

async function readLines(source: Readable, explanation: RequestTimeline): Promise<void> {
  for await (const text of createInterface({ input: source })) {
    const line = parseLogLine(text);
    if (line) explanation.addLine(line);
  }
}

/**
 * Prints what the logs of any number of instances say of one request, in order. Reads the files, or
 * standard input when there are none. Throws `NotFound` when no line names the request.
 */
export async function explain(id: string | undefined, files: readonly string[]): Promise<string> {
  if (!id) throw new InvalidInput('The argument ID is missing.');
  const explanation = new RequestTimeline(id);
  if (files.length === 0) await readLines(process.stdin, explanation);
  for (const file of files) await readLines(createReadStream(file), explanation);
  const story = explanation.getEntries();
  if (story.length === 0) throw new NotFound(`No line names the request ${id}.`);
  return renderTimeline(story);
}
