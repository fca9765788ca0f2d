// Starts the project's own programs as the deploy file says, on loopback addresses.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));
const startTimeoutMs = 15_000;
const pollMs = 50;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Returns the words of the `run` line of a role. */
function readRunWords(role) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

const firstOctet = 1 + Math.floor(Math.random() * 250);
let hostCount = 0;

/** Returns a loopback address that nothing else of this script has. */
export function nextHost() {
  hostCount += 1;
  return `127.${100 + (process.pid % 100)}.${firstOctet}.${hostCount}`;
}

/** Returns a port that is free at a host. */
export async function freePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Figures of the pecos-tagline sheet. */
const bounds = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxSkewMs: 5000,
  FailClosed: true,
  RevokeMs: 5000,
  RetryBudget: 0.2,
  BudgetWindowS: 10,
  RetrySlack: 102,
  ColdOverage: 1.5,
  ColdSlack: 5,
  EvacuateMs: 5000,
  RecoveryS: 12,
  PassMs: 120,
  RetryAfterS: 0,
  version_ms: 8000,
  version_all_ms: 0,
};

const zones = {
  'lubbock-a': 'south-plains',
  'sanangelo-a': 'edwards-plateau',
  'alpine-a': 'trans-pecos',
};

const directory = mkdtempSync(join(tmpdir(), 'review-'));
const running = new Set();

export function isReady(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const call = request({ host, port, path: '/-/readiness', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    call.setTimeout(1_000, () => call.destroy());
    call.once('error', () => resolve(false));
    call.end();
  });
}

/** One program of the system on a machine of its own address. */
export class Program {
  constructor(role, name, zone, storeAddress, more = {}) {
    this.role = role;
    this.name = name;
    this.zone = zone;
    this.storeAddress = storeAddress;
    this.more = more;
    this.host = more.Ip ?? nextHost();
    this.log = '';
  }

  async start() {
    this.frontPort ??= await freePort(this.host);
    this.readyPort ??= await freePort(this.host);
    const fields = {
      NodeName: this.name,
      Role: this.role,
      MachineClass: this.role === 'entry' ? 'front' : 'side',
      Serves: this.role === 'entry' ? 'front' : 'side',
      Ip: this.host,
      Zone: this.zone,
      Region: zones[this.zone],
      ...Object.fromEntries(
        Object.entries(zones).map(([zone, region]) => [`Zones.${zone}`, region]),
      ),
      'Listen.Front': `${this.host}:${this.frontPort}`,
      'Listen.Ready': `${this.host}:${this.readyPort}`,
      PortRange: '7700,7715',
      FirstStart: false,
      'Limits.CpuShare': 0.675,
      'Limits.Cores': 1,
      'Limits.MemoryMb': this.role === 'entry' ? 350 : 218,
      'Limits.MaxFds': this.role === 'entry' ? 4200 : 1494,
      'Limits.LinkMbps': this.role === 'entry' ? 1000 : 6.58,
      HeartbeatMs: 1200,
      ...Object.fromEntries(
        Object.entries(bounds).map(([name, value]) => [`Bounds.${name}`, value]),
      ),
      'Platform.Address': this.storeAddress,
      'Platform.form': 'kv',
      'Platform.WritesPerS': 400,
      'Platform.ReadsPerS': 2000,
      'Platform.HistoryS': 20,
      'Platform.ValueBytes': 1048576,
      'Platform.MinTtlMs': 1000,
      ...this.more,
    };
    const file = join(directory, `${this.name}.conf`);
    const lines = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    const [command, ...words] = readRunWords(this.role);
    const { PATH, HOME = '/', LANG = 'C.UTF-8' } = process.env;
    this.child = spawn(command, words, {
      cwd: root,
      env: { PATH, HOME, LANG, LABURNUMSTREAM_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(this);
    const file2 = createWriteStream(join(directory, `${this.name}.log`), { flags: 'a' });
    const keep = (bytes) => {
      this.log += bytes;
      file2.write(bytes);
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.exit = { code, signal };
        running.delete(this);
        resolve();
      });
    });
  }

  get front() {
    return `${this.host}:${this.frontPort}`;
  }

  async waitUntilReady() {
    const until = performance.now() + startTimeoutMs;
    while (performance.now() < until) {
      if (await isReady(`${this.host}:${this.readyPort}`)) return true;
      await sleep(pollMs);
    }
    return false;
  }

  signal(name) {
    if (!this.exit) this.child.kill(name);
  }
}

/** Ends all programs that this script has started, and removes its temporary folder. */
export async function endAll() {
  const programs = [...running];
  programs.forEach((program) => {
    program.signal('SIGCONT');
    program.signal('SIGKILL');
  });
  await Promise.all(programs.map(({ exited }) => exited));
  if (!process.env.KEEP_LOGS) rmSync(directory, { recursive: true, force: true });
  else process.stdout.write(`${directory}\n`);
}
