import type { Clock } from '@laburnumstream/common';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { AgentService } from '@laburnumstream/protocol';
import type { MemberDirectory } from './memberDirectory.js';

/** Backoff state of one unreachable agent; times are monotonic, in milliseconds. */
interface ProbeState {
  readonly unreachableSince: number;
  dueAt: number;
  delayMs: number;
}

const pollMs = 100;
const initialDelayMs = 100;
const maxDelayMs = 8_000;
const timeoutMs = 1_000;
/** Time after which an unreachable agent that sends no heartbeats here is declared gone. */
const giveUpAfterMs = 30_000;

/** Probes agents that could not be reached, with exponential backoff, until they respond. */
export class Prober {
  private readonly probes = new Map<string, ProbeState>();

  constructor(
    private readonly directory: MemberDirectory,
    private readonly links: LinkPool,
    private readonly clock: Clock,
  ) {}

  /** Probes until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.startDueProbes(signal);
      await this.clock.sleep(pollMs, signal).catch(() => undefined);
    }
  }

  private startDueProbes(signal: AbortSignal): void {
    const now = this.clock.now();
    const { unreachableAgents } = this.directory;
    if (unreachableAgents.length === 0) this.probes.clear();
    unreachableAgents.forEach((name) => {
      const state = this.getProbe(name, now);
      if (now < state.dueAt) return;
      state.dueAt = now + state.delayMs + timeoutMs;
      state.delayMs = Math.min(state.delayMs * 2, maxDelayMs);
      void this.probe(name, state, signal);
    });
  }

  private getProbe(name: string, now: number): ProbeState {
    let state = this.probes.get(name);
    if (!state) {
      state = { unreachableSince: now, dueAt: now + initialDelayMs, delayMs: initialDelayMs };
      this.probes.set(name, state);
    }
    return state;
  }

  private async probe(name: string, state: ProbeState, signal: AbortSignal): Promise<void> {
    const address = this.directory.getAddress(name);
    if (!address) {
      this.directory.clearUnreachable(name);
      return;
    }
    try {
      await createClient(AgentService, this.links.transportTo(address)).probe(
        {},
        { signal, timeoutMs },
      );
      this.directory.clearUnreachable(name);
      this.probes.delete(name);
    } catch {
      this.links.replace(address);
      const now = this.clock.now();
      if (now - state.unreachableSince > giveUpAfterMs)
        this.directory.members.declareGone(name, now);
    }
  }
}
