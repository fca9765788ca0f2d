#!/usr/bin/env node
import { parseArgs } from 'node:util';
import { toFailure } from '@laburnumstream/common';
import {
  ExitCode,
  LoggerFactory,
  onReload,
  onShutdown,
  parseSettings,
  readSettingsText,
} from '@laburnumstream/runtime';
import { Agent } from './agent.js';

const usage = `Usage: laburnumstream-agent --settings FILE

Runs the agent beside one endpoint.

  --settings FILE   settings in JSON with comments
  --help            this text
`;

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { settings: { type: 'string' }, help: { type: 'boolean' } },
  });
  if (values.help || !values.settings) {
    process.stdout.write(usage);
    process.exit(values.help ? ExitCode.success : ExitCode.usage);
  }
  const settings = parseSettings('agent', values.settings, readSettingsText(values.settings));
  const logs = new LoggerFactory(settings.instance, settings.log.level);
  const agent = new Agent(settings, logs);
  onShutdown(() => agent.stop(), settings.options.shutdownMs, logs.forComponent('process'));
  const file = values.settings;
  onReload(() => {
    const { secrets } = parseSettings('agent', file, readSettingsText(file));
    agent.replaceSecrets(secrets);
  }, logs.forComponent('process'));
  await agent.start();
}

main().catch((error: unknown) => {
  process.stderr.write(`${toFailure(error).message}\n`);
  process.exit(ExitCode.usage);
});
