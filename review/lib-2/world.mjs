// What the scripts of this review share: programs, settings, a configuration and clients.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { NotReached } from './notReached.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Start lines of the programs, from the deploy file. */
function runLine(role) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

/** Returns free ports of a loopback address. */
export async function freePorts(count, host = '127.0.0.1') {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

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

/** Settings of a front machine like those that DEPLOY.md shows. */
export function frontSettings(values) {
  return {
    NodeName: 'front-a-1',
    Role: 'entry',
    MachineClass: 'front',
    Serves: 'front',
    Ip: '127.0.0.1',
    Zone: 'a',
    Region: 'ra',
    'Zones.a': 'ra',
    FirstStart: true,
    LossCounts: false,
    'Limits.CpuShare': 0.675,
    'Limits.Cores': 1,
    'Limits.MemoryMb': 350,
    'Limits.MaxFds': 4200,
    'Limits.LinkMbps': '1000.0',
    'Limits.DiskMb': 0,
    Discovery: 'platform',
    Entry: 'vip',
    HeartbeatMs: 1200,
    ...Object.fromEntries(Object.entries(bounds).map(([name, value]) => [`Bounds.${name}`, value])),
    'Platform.form': 'kv',
    'Platform.WritesPerS': 400,
    'Platform.ReadsPerS': 2000,
    'Platform.HistoryS': 20,
    'Platform.ValueBytes': 1048576,
    'Platform.MinTtlMs': 1000,
    ...values,
  };
}

/** A program of the deploy file as a process of its own. */
export class Program {
  constructor(role, settings, logFile) {
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.file = join(this.directory, 'settings.conf');
    this.role = role;
    this.settings = settings;
    this.logFile = logFile;
    this.errors = '';
  }

  start() {
    const lines = Object.entries(this.settings).map(([name, value]) => `${name}=${value}`);
    writeFileSync(this.file, `${lines.join('\n')}\n`);
    const [command, ...words] = runLine(this.role);
    const port = words.indexOf('--metrics-port');
    if (port >= 0 && this.settings.metricsPort) words[port + 1] = String(this.settings.metricsPort);
    this.child = spawn(command === 'node' ? process.execPath : command, words, {
      cwd: root,
      env: { PATH: process.env.PATH, LABURNUMSTREAM_CONFIG: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exit = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    this.child.stdout.on('data', (bytes) => this.logFile && appendFileSync(this.logFile, bytes));
    this.child.stderr.on('data', (bytes) => {
      this.errors += bytes.toString();
    });
  }

  get isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  async stop() {
    if (this.child && this.isRunning) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.exit;
    }
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Sends one request on a connection of its own and resolves with its status, or 0 without an answer. */
export function ask({ host = '127.0.0.1', port, text, timeoutMs = 5000 }) {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    let answer = '';
    let timer;
    const finish = (how) => {
      clearTimeout(timer);
      socket.destroy();
      const status = Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0);
      resolve({ status, answer, how });
    };
    timer = setTimeout(() => finish('timeout'), timeoutMs);
    socket.once('connect', () => socket.write(text));
    socket.on('data', (bytes) => {
      answer += bytes.toString('latin1');
      const end = answer.indexOf('\r\n\r\n');
      if (end < 0) return;
      const length = /content-length: (\d+)/i.exec(answer.slice(0, end))?.[1];
      if (length !== undefined && answer.length >= end + 4 + Number(length)) finish('whole');
    });
    socket.once('error', () => finish('error'));
    socket.once('end', () => finish('end'));
  });
}

/** Resolves when the condition holds; rejects after the time. */
export async function until(condition, what, ms = 10_000) {
  const end = Date.now() + ms;
  while (!(await condition())) {
    if (Date.now() > end) throw new NotReached(what);
    await sleep(50);
  }
}
