import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { InvalidInput, NotFound } from '@laburnumstream/common';
import { RequestTimeline, parseLogLine, renderTimeline } from '../requestTimeline.js';

async function readLines(source: Readable, timeline: RequestTimeline): Promise<void> {
  for await (const text of createInterface({ input: source })) {
    const line = parseLogLine(text);
    if (line) timeline.addLine(line);
  }
}

/**
 * Formats the timeline of a request from the logs of any number of instances. Reads the given files,
 * or standard input if there are none. Throws `NotFound` if no line refers to the request.
 */
export async function explain(id: string | undefined, files: readonly string[]): Promise<string> {
  if (!id) throw new InvalidInput('The argument ID is missing.');
  const timeline = new RequestTimeline(id);
  if (files.length === 0) await readLines(process.stdin, timeline);
  for (const file of files) await readLines(createReadStream(file), timeline);
  const entries = timeline.getEntries();
  if (entries.length === 0) throw new NotFound(`No line names the request ${id}.`);
  return renderTimeline(entries);
}
