import { LRUCache } from 'lru-cache';

/** Traits of which requests that have all of them are refused, as they crash endpoints. */
export interface Quarantine {
  readonly traits: readonly string[];
  /** Number of crashes that led to it. */
  readonly crashes: number;
}

/** Maximum number of quarantines that are remembered; the least recently used are dropped. */
const maxQuarantines = 256;

/** Identifies a quarantine among all entries. */
export function quarantineKey({ traits }: Pick<Quarantine, 'traits'>): string {
  return traits.join('+');
}

/** The quarantines that an entry knows. */
export class Quarantines {
  private readonly byKey = new LRUCache<string, Quarantine>({ max: maxQuarantines });

  get size(): number {
    return this.byKey.size;
  }

  /** All quarantines, the most recently used first. */
  get all(): Quarantine[] {
    return [...this.byKey.values()];
  }

  has(quarantine: Pick<Quarantine, 'traits'>): boolean {
    return this.byKey.has(quarantineKey(quarantine));
  }

  add(quarantine: Quarantine): void {
    this.byKey.set(quarantineKey(quarantine), quarantine);
  }

  remove(quarantine: Pick<Quarantine, 'traits'>): void {
    this.byKey.delete(quarantineKey(quarantine));
  }

  /** Whether a quarantine has a trait for which `isMatch` returns true. */
  someTrait(isMatch: (trait: string) => boolean): boolean {
    return this.all.some(({ traits }) => traits.some(isMatch));
  }

  /** Returns a quarantine that covers a request with these traits, and marks it as used. */
  find(traits: ReadonlySet<string>): Quarantine | undefined {
    for (const [key, quarantine] of this.byKey.entries()) {
      if (quarantine.traits.every((trait) => traits.has(trait))) return this.byKey.get(key);
    }
    return undefined;
  }
}
