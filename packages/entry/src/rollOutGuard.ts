import { toFailure } from '@laburnumstream/common';
import type { Clock, Log } from '@laburnumstream/common';
import { findUnfitRelease } from '@laburnumstream/decisions';
import type { Configuration, UnfitReport } from '@laburnumstream/decisions';
import type { LiveMember } from './directory.js';
import { stopRollOut } from './changes.js';
import type { ConfigurationEditor } from './configurationEditor.js';

const checkMs = 500;

/** What endpoints report of versions that they hold for unfit. */
export function unfitReports(members: readonly LiveMember[]): UnfitReport[] {
  return members.flatMap(({ name, unfit }) =>
    unfit ? [{ instance: name, digest: unfit.digest, reason: unfit.reason }] : [],
  );
}

/**
 * Stops a roll-out and returns to the version before when an endpoint reports the new one unfit.
 * Runs at every entry: the change is idempotent, and the compare-and-swap lets one of them win.
 */
export class RollOutGuard {
  constructor(
    private readonly configuration: () => Configuration,
    private readonly members: () => readonly LiveMember[],
    private readonly editor: ConfigurationEditor,
    private readonly instance: string,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.check(signal).catch((error: unknown) =>
        this.log.warn('A roll-out was not stopped.', { type: toFailure(error).type }),
      );
      await this.clock.sleep(checkMs, signal).catch(() => undefined);
    }
  }

  private async check(signal: AbortSignal): Promise<void> {
    const found = findUnfitRelease(this.configuration(), unfitReports(this.members()));
    if (!found) return;
    const { model, report } = found;
    const reason = `${report.instance} ${report.reason}`;
    const by = { author: `entry ${this.instance}`, reason, at: this.clock.wall() };
    await this.editor.apply(stopRollOut(by, model, report), signal);
    this.log.warn('Roll-out stopped.', { model, reason });
  }
}
