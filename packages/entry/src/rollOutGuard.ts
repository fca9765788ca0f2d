import { toFailure } from '@laburnumstream/common';
import type { Clock, Log } from '@laburnumstream/common';
import { findUnfitRelease } from '@laburnumstream/decisions';
import type { Configuration, UnfitReport } from '@laburnumstream/decisions';
import type { LiveMember } from './memberDirectory.js';
import { stopRollOut } from './changes.js';
import type { ConfigurationEditor } from './configurationEditor.js';

const checkIntervalMs = 500;

/** The reports of endpoints that consider a version unfit to serve. */
export function collectUnfitReports(members: readonly LiveMember[]): UnfitReport[] {
  return members.flatMap(({ name, unfit }) =>
    unfit ? [{ instance: name, digest: unfit.digest, reason: unfit.reason }] : [],
  );
}

/**
 * Stops a roll-out and rolls back to the previous version when an endpoint reports the new one
 * unfit. Runs at every entry: the change is idempotent, and compare-and-swap lets one entry win.
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

  /** Checks for unfit reports until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.stopUnfitRollOut(signal).catch((error: unknown) =>
        this.log.warn('Roll-out could not be stopped.', { type: toFailure(error).type }),
      );
      await this.clock.sleep(checkIntervalMs, signal).catch(() => undefined);
    }
  }

  private async stopUnfitRollOut(signal: AbortSignal): Promise<void> {
    const unfit = findUnfitRelease(this.configuration(), collectUnfitReports(this.members()));
    if (!unfit) return;
    const { model, report } = unfit;
    const reason = `${report.instance} ${report.reason}`;
    const attribution = { author: `entry ${this.instance}`, reason, at: this.clock.wall() };
    await this.editor.apply(stopRollOut(attribution, model, report), signal);
    this.log.warn('Roll-out stopped.', { model, reason });
  }
}
