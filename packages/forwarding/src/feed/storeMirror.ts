import type {
  DatedChanges,
  StoreChange,
  StoreChanges,
  StoreOutage,
  StorePosition,
  StoreSnapshot,
} from '@laburnumstream/common';

import type { ChangeDate } from '@laburnumstream/decisions';

/** Removed keys that are remembered; a follower from before the oldest one needs a snapshot. */
const maxRemovals = 2_000;

/** Number of batches whose dates are remembered; a follower from before the oldest one needs a snapshot. */
const maxBatches = 1_000;

/** The newest change of a key. */
interface MirroredChange extends Omit<StoreChange, 'laterMs'> {
  /** Earliest time at which it may have been made, on the mirror's clock. */
  readonly changedAt: number;
}

/** Changes that became known together, with their date on the mirror's clock. */
interface ChangeBatch extends ChangeDate {
  /** Revision of the newest of them. */
  readonly revision: number;
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

  /** In the order of the changes, also of those that were replaced by later ones of the same key. */
  private batches: ChangeBatch[] = [];

  /** Revision up to which removals and dates may be unknown. */
  private forgottenRevision = 0;

  private positionKnown: StorePosition | undefined;

  private confirmedAt = -Infinity;

  private outage: MirroredOutage | undefined;

  /** Position of the content; undefined before the first snapshot. */
  get position(): StorePosition | undefined {
    return this.positionKnown;
  }

  /** Revision of the content; undefined before the first snapshot. */
  get revision(): number | undefined {
    return this.positionKnown?.revision;
  }

  /** Replaces the content. What was removed before is unknown, so followers need a snapshot too. */
  applySnapshot({ values, revision, epoch }: StoreSnapshot, date: ChangeDate): void {
    this.changesByKey = new Map();
    this.batches = [];
    this.forgottenRevision = revision;
    // What was confirmed before may be newer than the snapshot, or of another epoch.
    if (epoch !== this.positionKnown?.epoch || revision < (this.revision ?? 0))
      this.confirmedAt = -Infinity;
    this.positionKnown = { revision, epoch };
    this.applyChanges({ changes: values, revision, epoch }, date);
  }

  /** Applies changes of the epoch of the content. */
  applyChanges({ changes, revision }: StoreChanges, date: ChangeDate): void {
    changes.forEach(({ laterMs = 0, ...change }) => {
      const known = this.changesByKey.get(change.key);
      if (known && known.revision >= change.revision) return;
      this.changesByKey.delete(change.key);
      this.changesByKey.set(change.key, { ...change, changedAt: date.changedAt + laterMs });
    });
    const newest = Math.max(this.revision ?? 0, revision);
    this.positionKnown = { ...this.positionKnown, revision: newest };
    this.recordBatch(changes, date);
    this.forgetRemovals();
  }

  /** Records that the store confirmed the content in a call that began at `calledAt`. */
  confirm(calledAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, calledAt);
  }

  /** Whether the store has confirmed the content at a time or later. */
  isConfirmedSince(at: number): boolean {
    return this.confirmedAt >= at;
  }

  /** Records that the store responds again after an outage. */
  recordOutage(durationMs: number, endedAt: number): void {
    this.outage = { durationMs, endedAt };
  }

  /** Whether there are values or removals after a position, or some may have been forgotten. */
  hasChangesAfter(after: StorePosition): boolean {
    return this.hasForgotten(after) || this.selectAfter(after.revision).length > 0;
  }

  /** Whether a position is of an epoch that this mirror has not read yet. */
  isBehind({ epoch = 0 }: StorePosition): boolean {
    return epoch > (this.positionKnown?.epoch ?? 0);
  }

  /**
   * Returns the values and removals after a position for a follower that called at `calledAt`; undefined if some may
   * have been forgotten.
   */
  readAfter(after: StorePosition, calledAt: number, now: number): DatedChanges | undefined {
    if (this.hasForgotten(after)) return undefined;
    const { revision } = after;
    const { changedAt: oldestAt, unseenMs } = this.dateAfter(revision);
    const changes = this.selectAfter(revision)
      .map(({ changedAt, ...change }) =>
        changedAt > oldestAt ? { ...change, laterMs: changedAt - oldestAt } : change,
      )
      .sort((a, b) => a.revision - b.revision);
    const provenance = {
      proofAgeMs: Math.max(0, calledAt - this.confirmedAt),
      changeAgeMs: calledAt - Math.min(now, oldestAt),
      unseenMs,
      outage: this.describeOutage(now),
    };
    return { revision: 0, ...this.positionKnown, changes, provenance };
  }

  /** Revisions of another epoch say nothing of what has changed in this one. */
  private hasForgotten({ revision, epoch }: StorePosition): boolean {
    if (revision === 0) return false;
    return epoch !== this.positionKnown?.epoch || revision < this.forgottenRevision;
  }

  private describeOutage(now: number): StoreOutage | undefined {
    if (!this.outage) return undefined;
    const { durationMs, endedAt } = this.outage;
    return { durationMs, endedMsAgo: now - endedAt };
  }

  /**
   * Returns the date of the first change after a revision, also if a later one of its key has replaced it. It is a
   * guess if that of any change is.
   */
  private dateAfter(revision: number): ChangeDate {
    const unseen = this.batches.filter((batch) => batch.revision > revision);
    return {
      changedAt: Math.min(...unseen.map(({ changedAt }) => changedAt)),
      unseenMs: Math.max(0, ...unseen.map(({ unseenMs }) => unseenMs)),
    };
  }

  private recordBatch(changes: readonly StoreChange[], date: ChangeDate): void {
    const revision = Math.max(...changes.map((change) => change.revision));
    if (revision <= (this.batches.at(-1)?.revision ?? 0)) return;
    this.batches.push({ revision, ...date });
    if (this.batches.length <= maxBatches) return;
    const forgotten = this.batches.shift()!;
    this.forgottenRevision = Math.max(this.forgottenRevision, forgotten.revision);
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
