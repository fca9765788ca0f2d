// What all scripts share: the record of a case, its clients and its end.
import { createWriteStream } from 'node:fs';
import { request } from 'node:http';
import { endAll, sleep } from './programs.mjs';

export const hasTrouble = process.env.TROUBLE !== '0';

const startedAt = performance.now();
export const now = () => performance.now() - startedAt;

/** Opens the record of a case; entries with details are kept for its check. */
export function openRecord(folder) {
  const file = createWriteStream(new URL('record.txt', folder));
  const entries = [];
  const record = (who, text, details = undefined) => {
    const at = now();
    file.write(`${(at / 1000).toFixed(3)} ${who}: ${text}\n`);
    if (details) entries.push({ at, who, ...details });
  };
  record.entries = entries;
  record.end = () =>
    new Promise((resolve) => {
      file.end(resolve);
    });
  return record;
}

let requestCount = 0;

/** Returns an id that no other request has. */
export function nextId() {
  requestCount += 1;
  return `${process.pid.toString(16)}${requestCount.toString(16).padStart(8, '0')}`;
}

/** Sends one request on a connection of its own and records its answer. */
export function ask(
  record,
  front,
  { path, host, key, method = 'GET', headers = {}, body, deadlineMs = 1000 },
) {
  const id = nextId();
  const sentAt = now();
  const [address, port] = front.split(':');
  record('client', `sends ${id} to ${front}: ${method} ${path}${key ? ` with key ${key}` : ''}`);
  return new Promise((resolve) => {
    const end = (answer) => {
      const text = answer.error ?? `${answer.status}, ${answer.body.length} bytes`;
      record('client', `${id} ends: ${text}`);
      resolve({ id, sentAt, front, ...answer });
    };
    const call = request(
      {
        host: address,
        port,
        path,
        method,
        agent: false,
        headers: {
          Host: host,
          'Laburnumstream-Request-Id': id,
          'Laburnumstream-Deadline-Ms': deadlineMs,
          ...(key && { Authorization: `Bearer ${key}` }),
          ...(body && { 'content-length': body.length }),
          ...headers,
        },
      },
      (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.once('error', (error) => end({ error: error.message }));
        response.once('end', () =>
          end({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(parts).toString('utf8'),
            isComplete: response.complete,
          }),
        );
      },
    );
    call.setTimeout(deadlineMs + 2_000, () => call.destroy());
    call.once('error', (error) => end({ error: error.message }));
    call.end(body);
  });
}

/** A configuration like that of a small deployment. */
export function configuration(version, routes, services, tenants) {
  return {
    Version: version,
    Routes: routes,
    Services: services.map((name) => ({
      Name: name,
      HealthPath: '/health',
      MaxConns: 100,
      Protocol: 'h1',
      Tls: false,
      ColdS: 0,
      ColdPerS: 0,
    })),
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
    Tenants: tenants,
  };
}

export function route(name, host, prefix, service, more = {}) {
  return {
    Name: name,
    Host: host,
    PathPrefix: prefix,
    Kind: 'safe',
    TimeoutMs: 1000,
    GoalMs: 120,
    Priority: 2,
    Service: service,
    MaxAttempts: 2,
    Public: false,
    Sticky: false,
    Resumable: false,
    HomeRegions: [],
    ...more,
  };
}

/** Runs a case; it returns the broken rules as texts, or throws if it couldn't run. */
export async function runCase(folder, play) {
  const record = openRecord(folder);
  let code = 2;
  const limit = setTimeout(() => {
    record('case', 'took too long');
    void endAll().then(() => process.exit(2));
  }, 115_000);
  try {
    const broken = await play(record);
    broken.slice(0, 20).forEach((text) => record('check', text));
    record('check', broken.length > 0 ? `BROKEN, ${broken.length} times` : 'held');
    process.stdout.write(`${broken.length > 0 ? `broken ${broken.length} times` : 'held'}\n`);
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record('case', `could not run: ${String(error?.stack ?? error)}`);
    process.stdout.write(`could not run: ${String(error)}\n`);
  }
  clearTimeout(limit);
  await endAll();
  await record.end();
  process.exit(code);
}

export { sleep };
