import { execFile } from 'node:child_process';
import { createRequire } from 'node:module';

const { resolve } = createRequire(import.meta.url);
const main = resolve('@laburnumstream/agent').replace('agent/dist/index.js', 'cli/dist/main.js');

/** Exit code, standard output and standard error of a command. */
export interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** Runs the operators' command-line program against an entry. */
export function runCommand(
  address: string,
  token: string,
  args: readonly string[],
): Promise<CommandResult> {
  const argv = [main, ...args, '--address', address, '--token', token];
  return new Promise((resolveResult) => {
    execFile(process.execPath, argv, (failure, out, error) => {
      const code = failure && typeof failure.code === 'number' ? failure.code : 0;
      resolveResult({ code, out, error });
    });
  });
}
