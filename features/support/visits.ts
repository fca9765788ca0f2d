type AnyMap = Map<unknown, unknown>;

/** Prototype of all maps, whose iteration methods are wrapped while visits are counted. */
const mapPrototype = Object.getPrototypeOf(new Map()) as AnyMap;

/** Counts the map entries that are visited while `action` runs, by `forEach` or by iteration. */
export function countVisits(action: () => void): number {
  const { forEach, entries } = mapPrototype;
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
  Object.assign(mapPrototype, { forEach: counting.forEach, [Symbol.iterator]: counting.entries });
  try {
    action();
  } finally {
    Object.assign(mapPrototype, { forEach, [Symbol.iterator]: entries });
  }
  return visits;
}
