import fc from 'fast-check';

/** JSON values, with a bias to boundary values of numbers and strings. */
export const anyJson = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom(null, 0, -1, 2 ** 53, 1e308, '', '\u0000', [], {}),
);

/** Objects with a random subset of the given keys and arbitrary JSON values. */
export function objectsWith(keys: readonly string[]): fc.Arbitrary<Record<string, unknown>> {
  return fc.dictionary(fc.constantFrom(...keys), anyJson);
}

/** JSON texts of the given values, some of them truncated or with one character replaced. */
export function damagedJson(values: fc.Arbitrary<unknown>): fc.Arbitrary<string> {
  return fc
    .tuple(values, fc.nat(), fc.constantFrom('whole', 'cut', 'changed'))
    .map(([value, position, damage]) => {
      const text = JSON.stringify(value) ?? 'null';
      const at = position % Math.max(1, text.length);
      if (damage === 'cut') return text.slice(0, at);
      if (damage === 'changed') return `${text.slice(0, at)}\u0007${text.slice(at + 1)}`;
      return text;
    });
}

/** Samples inputs; the same seed gives the same list. */
export function sampleInputs<Value>(
  arbitrary: fc.Arbitrary<Value>,
  count: number,
  seed = 1,
): Value[] {
  return fc.sample(arbitrary, { numRuns: count, seed });
}
