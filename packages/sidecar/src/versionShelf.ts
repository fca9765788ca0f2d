import type { HeldVersion } from './heldVersion.js';

/** The versions of the weights that this process holds: the newest, and those still in use. */
export class VersionShelf {
  private readonly versions = new Map<number, HeldVersion>();

  get(version: number): HeldVersion | undefined {
    return this.versions.get(version);
  }

  put(held: HeldVersion): void {
    this.versions.set(held.version, held);
  }

  /** The newest version that is complete. */
  newest(): HeldVersion | undefined {
    const complete = [...this.versions.values()].filter(({ isComplete }) => isComplete);
    return complete.reduce<HeldVersion | undefined>(
      (best, held) => (best && best.version > held.version ? best : held),
      undefined,
    );
  }

  /** Drops versions older than one that is served. */
  dropBefore(version: number): void {
    [...this.versions.keys()]
      .filter((known) => known < version)
      .forEach((known) => this.versions.delete(known));
  }
}
