#!/usr/bin/env node
import { randomUUID } from 'node:crypto';
import { parseArgs } from 'node:util';
import { InvalidInput, InvalidSettings, toFailure } from '@laburnumstream/common';
import { Entry } from '@laburnumstream/entry';
import {
  ExitCode,
  LoggerFactory,
  onReload,
  onShutdown,
  parseSettings,
  readSettingsText,
  parseRole,
} from '@laburnumstream/runtime';
import type { ChangeMode } from './command.js';
import { explain } from './commands/explainCommand.js';
import { operatorCommands } from './commands/operatorCommands.js';
import { formatJson } from './commands/rendering.js';
import { OperatorClient } from './operatorClient.js';

const addressVariable = 'LABURNUMSTREAM_ADDRESS';
const tokenVariable = 'LABURNUMSTREAM_TOKEN';

const options = {
  settings: { type: 'string' },
  address: { type: 'string' },
  token: { type: 'string' },
  reason: { type: 'string' },
  json: { type: 'boolean' },
  wait: { type: 'boolean' },
  'dry-run': { type: 'boolean' },
  'if-revision': { type: 'string' },
  'change-id': { type: 'string' },
  since: { type: 'string' },
  limit: { type: 'string' },
  help: { type: 'boolean' },
} as const;

function usage(): string {
  const lines = Object.values(operatorCommands).map(
    (command) => `  ${command.usage}\n      ${command.summary}`,
  );
  return `Usage: laburnumstream COMMAND [options]

Processes
  entry --settings FILE
      runs an entry process
  check-settings FILE
      checks a settings file of an entry or an agent
  explain ID [FILE...]
      tells what logs of any number of instances say of a request; standard input without files

Operators' commands
${lines.join('\n')}

Options
  --address URL     administration API of an entry (or ${addressVariable})
  --token TOKEN     operator's token (or ${tokenVariable})
  --reason TEXT     why; needed for each change
  --wait            wait until a roll-out ends
  --dry-run         show what a change alters for whom; change nothing
  --if-revision N   refuse when an item of the change was altered after revision N
  --change-id ID    resend a change whose outcome is unknown, or name a new one
  --since N         audit records after revision N only
  --limit N         most audit records, the latest ones
  --json            one line of JSON instead of text
  --help            this text

Exit codes: 0 success, 1 refused or failed, 2 wrong usage or settings
`;
}

async function runEntry(file: string | undefined): Promise<void> {
  if (!file) throw new InvalidSettings('The option --settings is missing.');
  const settings = parseSettings('entry', file, readSettingsText(file));
  const logs = new LoggerFactory(settings.instance, settings.log.level);
  const entry = new Entry(settings, logs);
  onShutdown(() => entry.stop(), settings.options.shutdownMs, logs.forComponent('process'));
  onReload(() => {
    const { secrets } = parseSettings('entry', file, readSettingsText(file));
    entry.replaceSecrets(secrets);
  }, logs.forComponent('process'));
  await entry.start();
}

function checkSettings(file: string | undefined): void {
  if (!file) throw new InvalidSettings('The argument FILE is missing.');
  const text = readSettingsText(file);
  const role = parseRole(file, text);
  parseSettings(role, file, text);
  process.stdout.write(`${file}: valid settings of an ${role}\n`);
}

async function runOperatorCommand(
  name: string,
  positionals: readonly string[],
  values: ReturnType<typeof parse>['values'],
): Promise<void> {
  const command = operatorCommands[name];
  if (!command) throw new InvalidInput(`There is no command ${name}; see --help.`);
  const address = values.address ?? process.env[addressVariable] ?? 'http://127.0.0.1:8081';
  const client = new OperatorClient(address, values.token ?? process.env[tokenVariable] ?? '');
  const { reason = '', json = false, wait = false, since, limit } = values;
  const mode = toChangeMode(values);
  const result = await command.run({ positionals, client, reason, wait, mode, since, limit });
  const text = json ? JSON.stringify(result) : (command.render ?? formatJson)(result);
  process.stdout.write(`${text}\n`);
}

function toChangeMode(values: ReturnType<typeof parse>['values']): ChangeMode {
  const ifRevision = values['if-revision'];
  if (ifRevision !== undefined && !/^\d+$/.test(ifRevision)) {
    throw new InvalidInput('--if-revision: expected a whole number');
  }
  return {
    dryRun: values['dry-run'] ?? false,
    changeId: values['change-id'] ?? randomUUID(),
    ...(ifRevision === undefined ? {} : { ifRevision: Number(ifRevision) }),
  };
}

function parse() {
  try {
    return parseArgs({ options, allowPositionals: true });
  } catch (error) {
    throw new InvalidInput(toFailure(error).message);
  }
}

async function main(): Promise<void> {
  const { values, positionals } = parse();
  const [name, ...rest] = positionals;
  if (values.help || !name) {
    process.stdout.write(usage());
    process.exitCode = values.help ? ExitCode.success : ExitCode.usage;
  } else if (name === 'entry') await runEntry(values.settings);
  else if (name === 'check-settings') checkSettings(rest[0]);
  else if (name === 'explain') {
    const [id, ...files] = rest;
    process.stdout.write(`${await explain(id, files)}\n`);
  } else await runOperatorCommand(name, rest, values);
}

main().catch((error: unknown) => {
  const failure = toFailure(error);
  process.stderr.write(`${failure.type}: ${failure.message}\n`);
  const isUsageError = failure instanceof InvalidInput || failure instanceof InvalidSettings;
  process.exit(isUsageError ? ExitCode.usage : ExitCode.failure);
});
