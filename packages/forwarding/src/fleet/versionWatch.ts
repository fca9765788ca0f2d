import { toFailure } from '@laburnumstream/common';
import type { Clock, Log, StoreFeed, StorePosition } from '@laburnumstream/common';

/** Longest wait of one call, in milliseconds: a call costs the same however long it waits. */
const maxWaitMs = 30_000;
/** Time between two checks of whether this entry is to watch, in milliseconds. */
const checkIntervalMs = 1_000;

/** Time after a failed call, in milliseconds: the store may be away, and calls to it are limited. */
const failurePauseMs = 5_000;

/**
 * Watches the named versions alone. Readers of the store pause after each change to batch further ones, but a new
 * version is urgent: its weights have to leave the origin, which may be slow or fail soon.
 */
export class VersionWatch {
  constructor(
    private readonly store: Pick<StoreFeed, 'changes'>,
    /** Prefix of the keys of named versions. */
    private readonly prefix: string,
    /** Returns the known position of the store; undefined if there is none, or this entry does not read the store. */
    private readonly getPosition: () => StorePosition | undefined,
    /** Called when a version has been named. */
    private readonly onChange: () => void,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Watches until the signal fires, while this entry reads the store itself. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const position = this.getPosition();
      if (position) await this.watch(position, signal);
      else await this.pause(checkIntervalMs, signal);
    }
  }

  /** Watches from a position on until a call fails, or this entry no longer reads the store. */
  private async watch(from: StorePosition, signal: AbortSignal): Promise<void> {
    let after = from;
    try {
      while (!signal.aborted && this.getPosition()) {
        const { changes, revision, epoch } = await this.store.changes(
          this.prefix,
          after,
          maxWaitMs,
          signal,
        );
        after = { revision: Math.max(after.revision, revision), epoch };
        if (changes.length > 0) this.onChange();
      }
    } catch (error) {
      if (signal.aborted) return;
      const { type } = toFailure(error);
      this.log.info('Named versions not watched; they are read with the other changes.', { type });
      await this.pause(failurePauseMs, signal);
    }
  }

  private async pause(ms: number, signal: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal).catch(() => undefined);
  }
}
