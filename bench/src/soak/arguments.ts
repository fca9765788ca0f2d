import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { InvalidInput } from '@laburnumstream/common';
import { soakFaults } from './faults.js';
import type { SoakOptions } from './soakRun.js';

const builtPrograms = fileURLToPath(new URL('../../../platform/dist/', import.meta.url));

/** Ranges and defaults of the numeric flags. */
const numberFlags = {
  seed: { min: 0, max: 2 ** 31 - 1, default: 1 },
  minutes: { min: 0.2, max: 240, default: 2 },
  processes: { min: 3, max: 240, default: 5 },
} as const;

function parseNumber(name: keyof typeof numberFlags, text: string | undefined): number {
  const { min, max, default: defaultValue } = numberFlags[name];
  if (text === undefined) return defaultValue;
  const value = Number(text);
  const isInRange = text.trim() !== '' && value >= min && value <= max;
  if (isInRange && (name === 'minutes' || Number.isInteger(value))) return value;
  throw new InvalidInput(`--${name}: expected a number from ${min} to ${max}, found "${text}"`);
}

function parseFaults(text: string | undefined): string[] {
  const kinds = text?.split(',') ?? [];
  const unknown = kinds.find((kind) => !(kind in soakFaults));
  if (unknown === undefined) return kinds;
  throw new InvalidInput(`--faults: "${unknown}" is none of ${Object.keys(soakFaults).join(', ')}`);
}

function parseFlags(args: readonly string[]): Record<string, string | undefined> {
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

/** Parses the command line arguments of a soak; throws `InvalidInput`. */
export function parseSoakArguments(args: readonly string[]): SoakOptions {
  const values = parseFlags(args);
  return {
    seed: parseNumber('seed', values.seed),
    minutes: parseNumber('minutes', values.minutes),
    processes: parseNumber('processes', values.processes),
    faults: parseFaults(values.faults),
    directory: values.programs ?? builtPrograms,
  };
}
