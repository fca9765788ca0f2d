import type { ServerResponse } from 'node:http';

/** Calls `callback` right before the head of a response is written, when its headers may still be set. */
export function beforeHead(response: ServerResponse, callback: () => void): void {
  const writeHead = response.writeHead.bind(response) as (...parts: unknown[]) => ServerResponse;
  const write = (...parts: unknown[]): ServerResponse => {
    callback();
    return writeHead(...parts);
  };
  Object.assign(response, { writeHead: write });
}
