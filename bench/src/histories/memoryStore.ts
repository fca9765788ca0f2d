import { Conflict } from '@laburnumstream/common';
import type { Random, StoredValue, WriteCondition } from '@laburnumstream/common';
import type { VirtualClock } from './virtualClock.js';

const minLatencyMs = 1;
const latencyRangeMs = 8;

/** The state and faults of the key-value service in a history. */
export class MemoryStore {
  readonly values = new Map<string, StoredValue>();

  isDown = false;

  /** Share of calls that take effect but whose response is lost. */
  lostResponseShare = 0;

  calls = 0;

  private revision = 0;

  /** `ignoresConditions` injects a fault: every write succeeds. */
  constructor(
    readonly clock: VirtualClock,
    readonly random: Random,
    private readonly ignoresConditions = false,
  ) {}

  put(key: string, value: string, { ifRevision }: WriteCondition): number {
    const currentRevision = this.values.get(key)?.revision ?? 0;
    const conflicts = ifRevision !== undefined && ifRevision !== currentRevision;
    if (conflicts && !this.ignoresConditions) throw new Conflict('The value changed.');
    this.revision += 1;
    this.values.set(key, { key, value, revision: this.revision });
    return this.revision;
  }

  latencyMs(): number {
    return minLatencyMs + this.random.next() * latencyRangeMs;
  }
}
