import { CrashingRequest, Execution, NotFound } from '@laburnumstream/common';
import type { Clock, Instance, Log, Metrics, Random } from '@laburnumstream/common';
import { VerdictStore, VerdictState } from '@laburnumstream/decisions';
import type {
  EndpointLoss,
  SharedVerdict,
  SuspectRequest,
  Verdict,
} from '@laburnumstream/decisions';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';

const exchangeIntervalMs = 2_000;
/** Maximum time for which a request waits until the other entries know a verdict. */
const broadcastWaitMs = 250;

/** Refuses requests that crash endpoints; shares the verdicts on them with all other entries. */
export class CrashGuard {
  private readonly verdicts: VerdictStore;

  constructor(
    private readonly links: LinkPool,
    private readonly peers: () => readonly Instance[],
    private readonly clock: Clock,
    private readonly random: Random,
    retentionMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.verdicts = new VerdictStore(retentionMs);
  }

  /** Whether the request must run alone; throws `CrashingRequest` when it has been convicted. */
  mustRunAlone({ fingerprint }: SuspectRequest): boolean {
    const state = this.verdicts.getState(fingerprint, this.clock.now());
    if (state === VerdictState.convicted) {
      this.metrics.count('requests_refused_as_crashing');
      throw new CrashingRequest(Execution.notRun);
    }
    return state === VerdictState.suspect;
  }

  /**
   * Records that an endpoint was lost while it ran the request. Other entries get the verdict
   * before the request is retried.
   */
  async recordLoss(suspect: SuspectRequest, loss: EndpointLoss, alone: boolean): Promise<void> {
    await this.broadcast(this.verdicts.recordLoss(suspect, loss, alone, this.clock.now()));
  }

  /** Records that a suspect completed while it ran alone. */
  async recordSurvival(suspect: SuspectRequest): Promise<void> {
    await this.broadcast(this.verdicts.recordSurvival(suspect, this.clock.now()));
  }

  /** The convictions in force. */
  convictions(): SharedVerdict[] {
    const { convicted } = VerdictState;
    return this.verdicts.snapshot(this.clock.now()).filter(({ state }) => state === convicted);
  }

  /** Lifts a conviction; throws `NotFound`. */
  async lift(fingerprint: string, reason: string): Promise<void> {
    const verdict = this.verdicts.lift(fingerprint, reason, this.clock.now());
    if (!verdict) throw new NotFound(`There is no conviction of ${fingerprint}.`);
    await this.broadcast(verdict);
  }

  /** Merges another entry's verdicts; returns those that it lacks or has in an older version. */
  mergeVerdicts(theirs: readonly SharedVerdict[]): SharedVerdict[] {
    const now = this.clock.now();
    this.verdicts.merge(theirs, now);
    const versions = new Map(theirs.map(({ fingerprint, version }) => [fingerprint, version]));
    return this.verdicts
      .snapshot(now)
      .filter(({ fingerprint, version }) => version > (versions.get(fingerprint) ?? 0));
  }

  /** Periodically exchanges verdicts with a random entry, to make up for missed broadcasts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peers = this.peers();
      const peer = peers[Math.floor(this.random.next() * peers.length)];
      if (peer) await this.exchangeWith(peer, this.verdicts.snapshot(this.clock.now()));
      await this.clock.sleep(exchangeIntervalMs, signal).catch(() => undefined);
    }
  }

  private async broadcast(verdict: Verdict | undefined): Promise<void> {
    if (!verdict) return;
    const { fingerprint, state, service, workspace } = verdict;
    this.metrics.count(`verdicts_${state}`);
    this.log.info('Request verdict changed.', { fingerprint, state, service, workspace });
    const { endsAt, ...rest } = verdict;
    const remainingMs = Math.ceil(endsAt - this.clock.now());
    const exchanges = this.peers().map((peer) =>
      this.exchangeWith(peer, [{ ...rest, remainingMs }]),
    );
    const timer = new AbortController();
    const timeout = this.clock.sleep(broadcastWaitMs, timer.signal).catch(() => undefined);
    await Promise.race([Promise.all(exchanges), timeout]);
    timer.abort();
  }

  private async exchangeWith(peer: Instance, verdicts: SharedVerdict[]): Promise<void> {
    try {
      const client = createClient(EntryService, this.links.transportTo(peer.address));
      const response = await client.shareVerdicts({ verdicts }, { timeoutMs: exchangeIntervalMs });
      this.verdicts.merge(response.verdicts, this.clock.now());
    } catch (error) {
      this.log.debug('Verdict exchange failed.', { peer: peer.name, reason: String(error) });
    }
  }
}
