import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { children, folder, getStatus, now, root, until } from './run.mjs';

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

/** The command of a role of the deploy file, without the program's own arguments. */
const commands = {
  entry: ['--max-semi-space-size=2', '--max-old-space-size=200', 'target/entryMain.js'],
  agent: ['--max-semi-space-size=1', '--max-old-space-size=100', 'target/agentMain.js'],
};

/** One of the project's programs, with settings like those of the small deployments. */
export class Program {
  constructor(role, { name, ip, zone = 'zone-a', region = 'region-a', store, ports, more = {} }) {
    Object.assign(this, { role, name, ip, ports });
    this.file = join(folder, `${name}.conf`);
    this.errors = '';
    this.output = '';
    this.exits = [];
    const fields = {
      NodeName: name,
      Ip: ip,
      Zone: zone,
      Region: region,
      'Zones.zone-a': 'region-a',
      'Zones.zone-b': 'region-b',
      'Zones.zone-c': 'region-c',
      ...(role === 'entry' && {
        'Listen.Front': `${ip}:${ports.front}`,
        'Listen.Ready': `${ip}:${ports.ready}`,
      }),
      PortRange: `${ports.range},${ports.range + 5}`,
      FirstStart: true,
      'Limits.CpuShare': 0.675,
      'Limits.MemoryMb': role === 'entry' ? 350 : 218,
      'Limits.MaxFds': role === 'entry' ? 4200 : 1494,
      'Limits.LinkMbps': role === 'entry' ? 1000 : 6.58,
      HeartbeatMs: 1200,
      'Platform.Address': store.address,
      'Platform.MinTtlMs': 1000,
      ...Object.fromEntries(Object.entries(bounds).map(([key, value]) => [`Bounds.${key}`, value])),
      ...more,
    };
    const lines = Object.entries(fields).map(([key, value]) => `${key}=${value}\n`);
    writeFileSync(this.file, lines.join(''));
  }

  start() {
    const args = [...commands[this.role], '--metrics-port', String(this.ports.metrics)];
    const { PATH, HOME, LANG } = process.env;
    const child = spawn('node', args, {
      cwd: root,
      env: { PATH, HOME, LANG, LABURNUMSTREAM_CONFIG: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(child);
    this.child = child;
    this.isRunning = true;
    child.stdout.on('data', (bytes) => {
      this.output = (this.output + bytes).slice(-4_000_000);
    });
    child.stderr.on('data', (bytes) => {
      this.errors = (this.errors + bytes).slice(-20_000);
    });
    child.once('exit', (code, signal) => {
      children.delete(child);
      if (this.child === child) this.isRunning = false;
      this.exits.push({ at: now(), code, signal });
    });
    return this;
  }

  /** Waits until an entry says that it is ready. */
  async ready() {
    await until(
      async () => (await getStatus(this.ip, this.ports.ready, '/-/readiness')) === 200,
      `${this.name} is ready`,
    );
  }

  signal(name) {
    this.child.kill(name);
  }
}
