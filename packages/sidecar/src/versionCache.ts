import type { HeldVersion } from './heldVersion.js';

/** Versions of the weights held in memory: the newest one and those still in use. */
export class VersionCache {
  private readonly versions = new Map<number, HeldVersion>();

  get(version: number): HeldVersion | undefined {
    return this.versions.get(version);
  }

  add(held: HeldVersion): void {
    this.versions.set(held.version, held);
  }

  /** The newest complete version. */
  newestComplete(): HeldVersion | undefined {
    const complete = [...this.versions.values()].filter(({ isComplete }) => isComplete);
    return complete.reduce<HeldVersion | undefined>(
      (newest, held) => (newest && newest.version > held.version ? newest : held),
      undefined,
    );
  }

  /** Drops the versions older than `version`. */
  dropBefore(version: number): void {
    [...this.versions.keys()]
      .filter((held) => held < version)
      .forEach((held) => this.versions.delete(held));
  }
}
