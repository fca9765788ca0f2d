import type {
  Provenance,
  StoreChange,
  StoreChanges,
  StoreOutage,
  StoreSnapshot,
} from '@laburnumstream/common';

/** Removed keys that are remembered; a follower from before the oldest one needs a snapshot. */
const maxRemovals = 2_000;

/** The newest change of a key. */
interface MirroredChange extends StoreChange {
  /** Earliest time at which the change may have been known, on the mirror's clock. */
  readonly learnedAt: number;
}

/** An outage of the store on the mirror's clock. */
interface MirroredOutage {
  readonly durationMs: number;
  readonly endedAt: number;
}

/**
 * A copy of the store's content as of a revision, with the newest change of each key. Times are
 * milliseconds of a clock that also runs while the instance is suspended.
 */
export class StoreMirror {
  /** In the order of the changes. */
  private changesByKey = new Map<string, MirroredChange>();

  /** Revision up to which removals may be unknown. */
  private forgottenRevision = 0;

  private revisionKnown: number | undefined;

  private confirmedAt = -Infinity;

  private outage: MirroredOutage | undefined;

  /** Revision of the content; undefined before the first snapshot. */
  get revision(): number | undefined {
    return this.revisionKnown;
  }

  /** Replaces the content. What was removed before is unknown, so followers need a snapshot too. */
  applySnapshot({ values, revision }: StoreSnapshot, learnedAt: number): void {
    this.changesByKey = new Map();
    this.forgottenRevision = revision;
    // What was confirmed before may be newer than the snapshot.
    if (revision < (this.revisionKnown ?? 0)) this.confirmedAt = -Infinity;
    this.revisionKnown = revision;
    this.applyChanges({ changes: values, revision }, learnedAt);
  }

  applyChanges({ changes, revision }: StoreChanges, learnedAt: number): void {
    changes.forEach((change) => {
      const known = this.changesByKey.get(change.key);
      if (known && known.revision >= change.revision) return;
      this.changesByKey.delete(change.key);
      this.changesByKey.set(change.key, { ...change, learnedAt });
    });
    this.revisionKnown = Math.max(this.revisionKnown ?? 0, revision);
    this.forgetRemovals();
  }

  /** Records that the store confirmed the content in a call that began at `calledAt`. */
  confirm(calledAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, calledAt);
  }

  /** Records that the store responds again after an outage. */
  recordOutage(durationMs: number, endedAt: number): void {
    this.outage = { durationMs, endedAt };
  }

  /** Returns the values and removals after a revision; undefined if some may have been forgotten. */
  changesAfter(revision: number): readonly StoreChange[] | undefined {
    if (revision !== 0 && revision < this.forgottenRevision) return undefined;
    return this.selectAfter(revision)
      .map(({ key, value, revision: changedAt }) => ({ key, value, revision: changedAt }))
      .sort((a, b) => a.revision - b.revision);
  }

  /** Describes the changes after a revision to a follower that called at `calledAt`. */
  describe(after: number, calledAt: number, now: number): Provenance {
    const oldest = Math.min(now, ...this.selectAfter(after).map(({ learnedAt }) => learnedAt));
    return {
      proofAgeMs: Math.max(0, calledAt - this.confirmedAt),
      changeAgeMs: now - oldest,
      outage: this.describeOutage(now),
    };
  }

  private describeOutage(now: number): StoreOutage | undefined {
    if (!this.outage) return undefined;
    const { durationMs, endedAt } = this.outage;
    return { durationMs, endedMsAgo: now - endedAt };
  }

  private selectAfter(revision: number): MirroredChange[] {
    const isSnapshot = revision === 0;
    return [...this.changesByKey.values()].filter(
      (change) => change.revision > revision && !(isSnapshot && change.value === undefined),
    );
  }

  private forgetRemovals(): void {
    const removals = [...this.changesByKey.values()].filter(({ value }) => value === undefined);
    removals.slice(0, Math.max(0, removals.length - maxRemovals)).forEach(({ key, revision }) => {
      this.changesByKey.delete(key);
      this.forgottenRevision = Math.max(this.forgottenRevision, revision);
    });
  }
}
