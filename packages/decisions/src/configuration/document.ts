import { InvalidInput } from '@laburnumstream/common';
import { emptyConfiguration, policyDefaults } from './model.js';
import type { Configuration } from './model.js';

function getJsonType(value: unknown): string {
  if (value === null) return 'null';
  return Array.isArray(value) ? 'array' : typeof value;
}

function parseJson(text: string): Partial<Configuration> {
  try {
    return JSON.parse(text) as Partial<Configuration>;
  } catch (error) {
    throw new InvalidInput(`The stored configuration is not JSON: ${String(error)}`);
  }
}

/**
 * Parses the stored document. Missing parts get their defaults, and unknown parts written by a
 * later version are kept. Throws `InvalidInput` when a known part has the wrong JSON type.
 */
export function parseConfiguration(text: string): Configuration {
  const stored = parseJson(text);
  if (getJsonType(stored) !== 'object') {
    throw new InvalidInput('The stored configuration is not a JSON object.');
  }
  const configuration = { ...emptyConfiguration, ...stored };
  const parts = Object.keys(emptyConfiguration) as (keyof Configuration)[];
  const mistyped = parts.find(
    (part) => getJsonType(configuration[part]) !== getJsonType(emptyConfiguration[part]),
  );
  if (mistyped)
    throw new InvalidInput(`The part ${mistyped} of the stored configuration is damaged.`);
  return { ...configuration, defaults: { ...policyDefaults, ...configuration.defaults } };
}
