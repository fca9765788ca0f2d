import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { PlatformStore } from './platformStore.mjs';
import { Program } from './program.mjs';
import { children, pickPorts, root, sleep } from './run.mjs';

export const ip = '127.0.0.1';
const otherIp = '127.0.0.2';
/** Time for which a process runs before it counts as in touch: `ContactMs` and some more, in milliseconds. */
export const inTouchMs = 3_500;
/** `TimeoutMs` of the routes. */
export const timeoutMs = 1_500;

/** Starts a helper process, which prints one line when it is ready. */
export async function startHelper(file, ...args) {
  const child = spawn('node', [join(root, 'review/common-3', file), ...args.map(String)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  children.add(child);
  const line = await new Promise((resolve) => {
    child.stdout.once('data', (bytes) => resolve(String(bytes).trim()));
  });
  const ended = new Promise((resolve) => {
    child.once('exit', resolve);
  });
  return { child, line, ended };
}

/** Returns the configuration: without `Tenants`, no request needs a key. */
export function createConfiguration() {
  const route = (name, kind) => ({
    Name: name,
    Host: 'desk.example',
    PathPrefix: `/${name}/`,
    Kind: kind,
    Service: 'desk',
    TimeoutMs: timeoutMs,
    GoalMs: 400,
    MaxAttempts: 1,
  });
  return {
    Version: 1,
    Routes: [route('orders', 'unsafe'), route('status', 'safe')],
    Services: [{ Name: 'desk', HealthPath: '/health', MaxConns: 400 }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** Starts one entry before four servers of one service, which run in one process and send `answerBytes`. */
export async function startDesk(answerBytes = 800, configuration = createConfiguration()) {
  const store = await new PlatformStore().start();
  const { line: enginePort } = await startHelper('engine.mjs', answerBytes);
  store.write('op/config', configuration);
  for (let server = 0; server < 4; server += 1)
    store.write(`servers/i-${server}`, {
      Service: 'desk',
      Address: `${ip}:${enginePort}`,
      Zone: 'zone-a',
      Version: 'v1',
      Slots: 16,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born: 1_700_000_000_000,
    });
  const ports = await pickPorts([ip, otherIp]);
  const entry = new Program('entry', { name: 'front-1', ip, store, ports }).start();
  await entry.ready();
  await sleep(inTouchMs);
  return { entry, ports, store, enginePort: Number(enginePort) };
}

/** Starts a second entry, on another address. */
export async function startEntryBeside(store, ports) {
  const entry = new Program('entry', { name: 'front-2', ip: otherIp, store, ports }).start();
  await entry.ready();
  await sleep(inTouchMs);
  return entry;
}
