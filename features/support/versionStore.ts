import { HistoryLost, StoreUnavailable } from '@laburnumstream/common';
import type {
  Clock,
  StoreChange,
  StoreChanges,
  StoreFeed,
  StorePosition,
} from '@laburnumstream/common';

/** The model whose versions are named. */
export const model = 'm';

const firstRevision = 10;
const versionKey = `op/version/${model}`;
const responseMs = 5;
/** Time after its call at which a version is named, in milliseconds. */
const namedAfterMs = 10;
/** Delay of a slow response, in milliseconds: less than the wait that was asked for. */
const slowMs = 800;
/** Time after the wait at which a lost response is given up, in milliseconds. */
const lostMs = 700;
/** Time until the end of a call that finds its history lost, in milliseconds. */
const historyMs = 900;

/** Creates the change that names a version; its revision follows from the version. */
export function createVersionChange(version: number): StoreChange {
  const value = JSON.stringify({ Model: model, Version: version });
  return { key: versionKey, value, revision: firstRevision + version };
}

/** Creates a registration's change, after which an entry pauses. */
function createOtherChange(): StoreChange {
  return { key: 'op/evacuate/b', value: '{}', revision: firstRevision + 1 };
}

/** What a watch does that begins at the time of the fault, and what is named meanwhile. */
interface VersionFault {
  readonly versions: readonly number[];
  /** Whether a change comes before, so that the watch begins after a pause in which the version is named. */
  readonly isInPause?: boolean;
  watch(store: VersionStore, waitMs: number, signal?: AbortSignal): Promise<StoreChanges>;
}

async function loseResponse(
  { clock }: VersionStore,
  waitMs: number,
  signal?: AbortSignal,
): Promise<never> {
  await clock.sleep(waitMs + lostMs, signal);
  throw new StoreUnavailable('The response is lost.');
}

async function loseHistory(
  { clock }: VersionStore,
  _waitMs: number,
  signal?: AbortSignal,
): Promise<never> {
  await clock.sleep(historyMs, signal);
  throw new HistoryLost('The history is lost.');
}

/** Faults of the call in which version 2 is named, by name. */
export const versionFaults: Readonly<Record<string, VersionFault>> = {
  'in a wait whose response is slow': {
    versions: [2],
    watch: async (store, _waitMs, signal) => {
      await store.clock.sleep(slowMs, signal);
      return store.readAfter(firstRevision + 1);
    },
  },
  'in a wait whose response is lost': { versions: [2], watch: loseResponse },
  'in a pause before a response that is lost': {
    versions: [2],
    isInPause: true,
    watch: loseResponse,
  },
  'in a wait that ends without its history': { versions: [2], watch: loseHistory },
  'and then version 3, in history that is lost': { versions: [2, 3], watch: loseHistory },
};

/** A store in which versions are named within one faulty call; all others respond at once. */
export class VersionStore implements StoreFeed {
  /** Time at which version 2 was named, in milliseconds; infinite before. */
  namedAt = Infinity;

  private readonly changesSoFar: StoreChange[] = [];

  private hasFailed = false;

  constructor(
    readonly clock: Clock,
    private readonly fault: VersionFault,
  ) {}

  async snapshot() {
    await this.clock.sleep(responseMs);
    const { changes, revision } = this.readAfter(0);
    const latest = new Map(changes.map((change) => [change.key, change]));
    const values = [...latest.values()].map((change) => ({ ...change, value: change.value! }));
    return { values, revision };
  }

  async changes(
    _prefix: string,
    { revision: after }: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreChanges> {
    if (this.fault.isInPause && after === firstRevision) {
      await this.clock.sleep(responseMs, signal);
      this.changesSoFar.push(createOtherChange());
      this.nameVersions();
      return { changes: this.changesSoFar.slice(0, 1), revision: firstRevision + 1 };
    }
    if (this.hasFailed) {
      const isUpToDate = after >= this.readAfter(0).revision;
      await this.clock.sleep(isUpToDate ? waitMs : responseMs, signal);
      return this.readAfter(after);
    }
    this.hasFailed = true;
    await this.clock.sleep(namedAfterMs, signal);
    if (!this.fault.isInPause) this.nameVersions();
    return this.fault.watch(this, waitMs - namedAfterMs, signal);
  }

  /** Returns all changes after a revision. */
  readAfter(after: number): StoreChanges {
    const changes = this.changesSoFar.filter(({ revision }) => revision > after);
    const revision = Math.max(firstRevision, after, ...changes.map((change) => change.revision));
    return { changes, revision };
  }

  private nameVersions(): void {
    this.namedAt = this.clock.now();
    this.changesSoFar.push(...this.fault.versions.map(createVersionChange));
  }
}
