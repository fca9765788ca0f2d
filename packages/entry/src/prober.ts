import type { Clock } from '@laburnumstream/common';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { AgentService } from '@laburnumstream/protocol';
import type { Directory } from './directory.js';

interface Trial {
  readonly since: number;
  due: number;
  delayMs: number;
}

const lookMs = 100;
const firstDelayMs = 100;
const longestDelayMs = 8_000;
const timeoutMs = 1_000;
/** Time without an answer after which an agent that reports to nobody here counts as gone. */
const giveUpMs = 30_000;

/** Tries agents that could not be reached, with growing pauses, until they answer. */
export class Prober {
  private readonly trials = new Map<string, Trial>();

  constructor(
    private readonly directory: Directory,
    private readonly links: LinkPool,
    private readonly clock: Clock,
  ) {}

  /** Probes until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.startDue(signal);
      await this.clock.sleep(lookMs, signal).catch(() => undefined);
    }
  }

  private startDue(signal: AbortSignal): void {
    const now = this.clock.now();
    const { suspects } = this.directory;
    if (suspects.length === 0) this.trials.clear();
    suspects.forEach((name) => {
      const trial = this.trialOf(name, now);
      if (now < trial.due) return;
      trial.due = now + trial.delayMs + timeoutMs;
      trial.delayMs = Math.min(trial.delayMs * 2, longestDelayMs);
      void this.probe(name, trial, signal);
    });
  }

  private trialOf(name: string, now: number): Trial {
    let trial = this.trials.get(name);
    if (!trial) {
      trial = { since: now, due: now + firstDelayMs, delayMs: firstDelayMs };
      this.trials.set(name, trial);
    }
    return trial;
  }

  private async probe(name: string, trial: Trial, signal: AbortSignal): Promise<void> {
    const address = this.directory.addressOf(name);
    if (!address) {
      this.directory.clear(name);
      return;
    }
    try {
      await createClient(AgentService, this.links.to(address)).probe({}, { signal, timeoutMs });
      this.directory.clear(name);
      this.trials.delete(name);
    } catch {
      this.links.replace(address);
      const now = this.clock.now();
      if (now - trial.since > giveUpMs) this.directory.members.declareGone(name, now);
    }
  }
}
