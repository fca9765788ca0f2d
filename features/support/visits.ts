type AnyMap = Map<unknown, unknown>;

/** The methods of all maps, which are wrapped while visits are counted. */
const methods = Object.getPrototypeOf(new Map()) as AnyMap;

/** Counts the entries of maps that are visited while `work` runs, by `forEach` or by iteration. */
export function countVisits(work: () => void): number {
  const { forEach, entries } = methods;
  let visits = 0;
  const counting = {
    forEach(this: AnyMap, visit: (value: unknown, key: unknown) => void): void {
      forEach.call(this, (value, key) => {
        visits += 1;
        visit(value, key);
      });
    },
    *entries(this: AnyMap): Generator<[unknown, unknown], undefined> {
      const all = entries.call(this);
      for (let next = all.next(); !next.done; next = all.next()) {
        visits += 1;
        yield next.value;
      }
      return undefined;
    },
  };
  Object.assign(methods, { forEach: counting.forEach, [Symbol.iterator]: counting.entries });
  try {
    work();
  } finally {
    Object.assign(methods, { forEach, [Symbol.iterator]: entries });
  }
  return visits;
}
