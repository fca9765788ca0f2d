// What the scripts of this review share: the record, waits, ports, raw requests and the end of all processes.
import { connect, createServer as createListener } from 'node:net';
import { mkdtempSync, rmSync, writeFileSync, appendFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };

/** The repository. */
export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

const startedAt = performance.now();

/** Milliseconds since the start of the script. */
export const now = () => Math.round(performance.now() - startedAt);

/** Processes that end with the script. */
export const children = new Set();

/** Folder for the settings of the programs. */
export const folder = mkdtempSync(join(tmpdir(), 'review-'));
let recordFile;

/** Opens `record.txt` in the folder of a case. */
export function openRecord(caseUrl) {
  recordFile = join(dirname(fileURLToPath(caseUrl)), 'record.txt');
  writeFileSync(recordFile, '');
}

/** Writes a line to the record of the case. */
export function record(text) {
  appendFileSync(recordFile, `${String(now()).padStart(7)} ms  ${text}\n`);
}

/** Ends all processes that were started, and the script: 1 rule broken, 0 held, 2 the case could not run. */
export function finish(code, text) {
  record(text);
  process.stdout.write(`${text}\n`);
  children.forEach((child) => child.kill('SIGKILL'));
  rmSync(folder, { recursive: true, force: true });
  process.exit(code);
}

process.on('uncaughtException', (error) => finish(2, `The case could not run: ${error.stack}`));
process.on('unhandledRejection', (error) =>
  finish(2, `The case could not run: ${error?.stack ?? error}`),
);
setTimeout(() => finish(2, 'The case could not run: it took too long.'), 118_000).unref();

/** Returns a port that is free at all of some addresses, or the first of `count` in a row. */
export async function freePort(count = 1, ips = ['127.0.0.1']) {
  const isFree = (ip, port) =>
    new Promise((resolve) => {
      const probe = createListener();
      probe.once('error', () => resolve(false));
      probe.listen(port, ip, () => probe.close(() => resolve(true)));
    });
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 12_000);
    let ok = true;
    for (let port = first; port < first + count && ok; port += 1)
      for (const ip of ips) ok &&= await isFree(ip, port);
    if (ok) return first;
  }
  return finish(2, 'The case could not run: no port is free.');
}

/** Waits until a condition holds; the case can't run if it does not in time. */
export async function until(condition, what, ms = 10_000) {
  const end = performance.now() + ms;
  while (performance.now() < end) {
    if (await condition()) return;
    await sleep(20);
  }
  finish(2, `The case could not run: not reached in ${ms} ms: ${what}`);
}

/** Asks for a status; 0 without an answer. */
export function getStatus(ip, port, path = '/') {
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port });
    let text = '';
    const end = () => {
      socket.destroy();
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0));
    };
    socket.setTimeout(1_000, end);
    socket.on('error', end);
    socket.on('close', end);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (text.includes('\r\n\r\n')) end();
    });
    socket.write(`GET ${path} HTTP/1.1\r\nHost: ${ip}\r\nConnection: close\r\n\r\n`);
  });
}

/** Ports for programs at several addresses, the same on all of them. */
export async function pickPorts(ips) {
  const first = await freePort(10, ips);
  return { front: first, ready: first + 1, metrics: first + 2, range: first + 3 };
}

/** A response on a raw connection; `isWhole` tells whether all of its body has arrived. */
export function sendRaw(ip, port, bytes, { timeoutMs = 10_000, keep = false } = {}) {
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port, noDelay: true });
    let text = '';
    let ended = 'open';
    const done = () => {
      if (!keep) socket.destroy();
      const [head = '', ...rest] = text.split('\r\n\r\n');
      resolve({
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
        head,
        body: rest.join('\r\n\r\n'),
        text,
        ended,
        socket,
      });
    };
    socket.setTimeout(timeoutMs, () => {
      ended = 'timeout';
      done();
    });
    socket.on('data', (part) => {
      text += part.toString('latin1');
    });
    socket.on('end', () => {
      ended = 'closed';
    });
    socket.on('error', (error) => {
      ended = error.code;
    });
    socket.on('close', done);
    if (typeof bytes === 'function') bytes(socket);
    else socket.write(bytes);
  });
}
