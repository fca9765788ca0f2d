import { LRUCache } from 'lru-cache';

/** Traits of which requests that have all of them are refused, as they crash endpoints. */
export interface Conviction {
  readonly traits: readonly string[];
  /** Number of crashes that led to it. */
  readonly crashes: number;
}

/** Maximum number of convictions that are remembered; the least recently used are dropped. */
const maxConvictions = 256;

/** Identifies a conviction among all entries. */
export function convictionKey({ traits }: Pick<Conviction, 'traits'>): string {
  return traits.join('+');
}

/** The convictions that an entry knows. */
export class Convictions {
  private readonly byKey = new LRUCache<string, Conviction>({ max: maxConvictions });

  get size(): number {
    return this.byKey.size;
  }

  /** All convictions, the most recently used first. */
  get all(): Conviction[] {
    return [...this.byKey.values()];
  }

  has(conviction: Pick<Conviction, 'traits'>): boolean {
    return this.byKey.has(convictionKey(conviction));
  }

  add(conviction: Conviction): void {
    this.byKey.set(convictionKey(conviction), conviction);
  }

  remove(conviction: Pick<Conviction, 'traits'>): void {
    this.byKey.delete(convictionKey(conviction));
  }

  /** Whether a conviction has a trait for which `isMatch` returns true. */
  someTrait(isMatch: (trait: string) => boolean): boolean {
    return this.all.some(({ traits }) => traits.some(isMatch));
  }

  /** Returns a conviction that covers a request with these traits, and marks it as used. */
  find(traits: ReadonlySet<string>): Conviction | undefined {
    for (const [key, conviction] of this.byKey.entries()) {
      if (conviction.traits.every((trait) => traits.has(trait))) return this.byKey.get(key);
    }
    return undefined;
  }
}
