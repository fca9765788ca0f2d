import fc from 'fast-check';
import { anyJson, sampleInputs } from './fuzzInputs.js';

type Path = readonly (string | number)[];

const manyLevels = 4_000;
const longText = 'x'.repeat(10_000);
/** Texts that stand for JSON that `JSON.stringify` does not write. */
const markers: Readonly<Record<string, string>> = {
  '#digits': '1e400',
  '#negative digits': '-1e400',
  '#fraction': '0.1',
  '#many digits': '9'.repeat(400),
  '#lists': `${'['.repeat(manyLevels)}${']'.repeat(manyLevels)}`,
  '#objects': `${'{"Service":'.repeat(manyLevels)}1${'}'.repeat(manyLevels)}`,
};

const oddLeaf = fc.oneof(
  fc.constantFrom(...Object.keys(markers)),
  fc.constantFrom<unknown>(Number.MAX_VALUE, -Number.MAX_VALUE, 2 ** 53, 2 ** 32, 0.5, 0, -1),
  fc.constantFrom<unknown>(undefined, null, true, [], {}, [1, 2], '', 'constructor', '__proto__'),
  fc.constantFrom<unknown>('\r\n', '\u0000', '\ud800', longText, '127.0.0.1:70000', '1.2.3.4:0'),
  fc.double(),
  anyJson,
);

/** Lists the paths of all values within a value, its own included. */
function listPaths(value: unknown, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const parts = Object.entries(value).flatMap(([key, part]) => listPaths(part, [...path, key]));
  return [path, ...parts];
}

/** Returns a value with the part at a path replaced. */
function replaceAt(value: unknown, [first, ...rest]: Path, odd: unknown): unknown {
  if (first === undefined) return odd;
  if (typeof value !== 'object' || value === null) return value;
  const known = (value as Record<string, unknown>)[first];
  const part = replaceAt(known, rest, odd);
  if (Array.isArray(value)) return Object.assign([...(value as unknown[])], { [first]: part });
  return { ...value, [first]: part };
}

function write(value: unknown): string {
  const text = JSON.stringify(value) ?? '';
  return Object.entries(markers).reduce(
    (all, [name, json]) => all.replaceAll(`"${name}"`, json),
    text,
  );
}

function damage(text: string, kind: string, position: number): string {
  const at = position % Math.max(1, text.length);
  if (kind === 'cut') return text.slice(0, at);
  return kind === 'changed' ? `${text.slice(0, at)}\ufffd${text.slice(at + 1)}` : text;
}

/** Samples JSON texts of a sound value with one to three odd parts; some texts are damaged besides. */
export function sampleOddTexts(sound: unknown, count: number, seed: number): string[] {
  const paths = listPaths(sound);
  const change = fc.tuple(fc.constantFrom(...paths), oddLeaf);
  const texts = fc
    .tuple(
      fc.array(change, { minLength: 1, maxLength: 3 }),
      fc.constantFrom('whole', 'whole', 'whole', 'cut', 'changed'),
      fc.nat(),
    )
    .map(([changes, kind, position]) =>
      damage(
        write(changes.reduce((value, [path, odd]) => replaceAt(value, path, odd), sound)),
        kind,
        position,
      ),
    );
  return sampleInputs(texts, count, seed);
}

const headerText = fc.oneof(
  fc.constantFrom('', ' ', ',', ',,', '-1', '0', '1', '1.5', '1e400', '0x10', 'NaN', 'Infinity'),
  fc.constantFrom('9'.repeat(20), '9'.repeat(400), '1,2,3', '-1,2,3', '1,2', '1,2,3,4', longText),
  fc.constantFrom('timeout=99999999999', 'Bearer', 'Bearer x', 'a:1,b:2', ':,:'),
  fc.string(),
  fc.integer().map(String),
  fc.double().map(String),
);

/** Samples headers of the given names, some of them repeated. */
export function sampleOddHeaders(
  names: readonly string[],
  count: number,
  seed: number,
): Record<string, string | string[]>[] {
  const value = fc.oneof(headerText, fc.array(headerText, { minLength: 1, maxLength: 3 }));
  return sampleInputs(fc.dictionary(fc.constantFrom(...names), value), count, seed);
}

/** Samples bytes of sound ones of which some are changed, added or cut off. */
export function sampleDamagedBytes(
  sound: readonly Uint8Array[],
  count: number,
  seed: number,
): Buffer[] {
  const edit = fc.tuple(fc.nat(), fc.integer({ min: 0, max: 255 }));
  const damaged = fc
    .tuple(
      fc.constantFrom(...sound),
      fc.array(edit, { maxLength: 4 }),
      fc.nat(),
      fc.constantFrom('whole', 'cut', 'more'),
    )
    .map(([bytes, edits, position, kind]) => {
      const copy = Buffer.from(bytes);
      edits.forEach(([at, byte]) => copy.writeUInt8(byte, at % copy.length));
      if (kind === 'cut') return copy.subarray(0, position % copy.length);
      return kind === 'more' ? Buffer.concat([copy, Buffer.from(bytes)]) : copy;
    });
  return sampleInputs(damaged, count, seed);
}
