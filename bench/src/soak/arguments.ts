import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { InvalidInput } from '@laburnumstream/common';
import { soakFaults } from './faults.js';
import type { SoakChoices } from './soakRun.js';

const builtPrograms = fileURLToPath(new URL('../../../platform/dist/', import.meta.url));

/** Ranges of a soak's numbers, and what they are when nothing is said. */
const numbers = {
  seed: { least: 0, most: 2 ** 31 - 1, usual: 1 },
  minutes: { least: 0.2, most: 240, usual: 2 },
  processes: { least: 3, most: 240, usual: 5 },
} as const;

function numberOf(name: keyof typeof numbers, text: string | undefined): number {
  const { least, most, usual } = numbers[name];
  if (text === undefined) return usual;
  const value = Number(text);
  const isInRange = text.trim() !== '' && value >= least && value <= most;
  if (isInRange && (name === 'minutes' || Number.isInteger(value))) return value;
  throw new InvalidInput(`--${name}: expected a number from ${least} to ${most}, found "${text}"`);
}

function faultsOf(text: string | undefined): string[] {
  const kinds = text?.split(',') ?? [];
  const unknown = kinds.find((kind) => !(kind in soakFaults));
  if (unknown === undefined) return kinds;
  throw new InvalidInput(`--faults: "${unknown}" is none of ${Object.keys(soakFaults).join(', ')}`);
}

function parse(args: readonly string[]): Record<string, string | undefined> {
  try {
    const { values } = parseArgs({
      args: [...args],
      options: {
        seed: { type: 'string' },
        minutes: { type: 'string' },
        processes: { type: 'string' },
        faults: { type: 'string' },
        programs: { type: 'string' },
      },
    });
    return values;
  } catch (error) {
    throw new InvalidInput((error as Error).message.split('\n')[0]!);
  }
}

/** Reads what a soak is to do; throws `InvalidInput`. */
export function readChoices(args: readonly string[]): SoakChoices {
  const values = parse(args);
  return {
    seed: numberOf('seed', values.seed),
    minutes: numberOf('minutes', values.minutes),
    processes: numberOf('processes', values.processes),
    faults: faultsOf(values.faults),
    directory: values.programs ?? builtPrograms,
  };
}
