import { CrashingRequest, Execution, NotFound } from '@laburnumstream/common';
import type { Clock, Instance, Log, Metrics, Random } from '@laburnumstream/common';
import { VerdictStore, VerdictState } from '@laburnumstream/decisions';
import type { EndpointLoss, SharedVerdict, SuspectRequest, Verdict } from '@laburnumstream/decisions';
import { createClient } from '@laburnumstream/links';
import type { LinkPool } from '@laburnumstream/links';
import { EntryService } from '@laburnumstream/protocol';

const exchangeMs = 2_000;
/** Longest time for which an answer waits until other entries know a verdict. */
const spreadMs = 250;

/** Keeps requests that crash endpoints away from them, together with all other entries. */
export class CrashGuard {
  private readonly book: VerdictStore;

  constructor(
    private readonly links: LinkPool,
    private readonly peers: () => readonly Instance[],
    private readonly clock: Clock,
    private readonly random: Random,
    keepMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.book = new VerdictStore(keepMs);
  }

  /** Whether the request must run alone; throws `CrashingRequest` when it must not run. */
  mustRunAlone({ fingerprint }: SuspectRequest): boolean {
    const state = this.book.getState(fingerprint, this.clock.now());
    if (state === VerdictState.convicted) {
      this.metrics.count('requests_refused_as_crashing');
      throw new CrashingRequest(Execution.notRun);
    }
    return state === VerdictState.suspect;
  }

  /** An endpoint was lost under a request: tells the other entries before the request goes on. */
  async lost(suspect: SuspectRequest, loss: EndpointLoss, alone: boolean): Promise<void> {
    await this.spread(this.book.recordLoss(suspect, loss, alone, this.clock.now()));
  }

  /** A suspect ended well while it ran alone. */
  async survived(suspect: SuspectRequest): Promise<void> {
    await this.spread(this.book.recordSurvival(suspect, this.clock.now()));
  }

  /** The convictions in force. */
  convictions(): SharedVerdict[] {
    const { convicted } = VerdictState;
    return this.book.snapshot(this.clock.now()).filter(({ state }) => state === convicted);
  }

  /** Lifts a conviction; throws `NotFound`. */
  async lift(fingerprint: string, reason: string): Promise<void> {
    const verdict = this.book.lift(fingerprint, reason, this.clock.now());
    if (!verdict) throw new NotFound(`There is no conviction of ${fingerprint}.`);
    await this.spread(verdict);
  }

  /** Takes another entry's verdicts and returns those that it lacks. */
  exchange(theirs: readonly SharedVerdict[]): SharedVerdict[] {
    const now = this.clock.now();
    this.book.merge(theirs, now);
    const versions = new Map(theirs.map(({ fingerprint, version }) => [fingerprint, version]));
    return this.book
      .snapshot(now)
      .filter(({ fingerprint, version }) => version > (versions.get(fingerprint) ?? 0));
  }

  /** Compares verdicts with a random entry again and again, for those that missed a message. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peers = this.peers();
      const peer = peers[Math.floor(this.random.next() * peers.length)];
      if (peer) await this.send(peer, this.book.snapshot(this.clock.now()));
      await this.clock.sleep(exchangeMs, signal).catch(() => undefined);
    }
  }

  private async spread(verdict: Verdict | undefined): Promise<void> {
    if (!verdict) return;
    const { fingerprint, state, service, workspace } = verdict;
    this.metrics.count(`verdicts_${state}`);
    this.log.info('Verdict on a request.', { fingerprint, state, service, workspace });
    const { endsAt, ...rest } = verdict;
    const remainingMs = Math.ceil(endsAt - this.clock.now());
    const sent = this.peers().map((peer) => this.send(peer, [{ ...rest, remainingMs }]));
    const waited = new AbortController();
    const late = this.clock.sleep(spreadMs, waited.signal).catch(() => undefined);
    await Promise.race([Promise.all(sent), late]);
    waited.abort();
  }

  private async send(peer: Instance, verdicts: SharedVerdict[]): Promise<void> {
    try {
      const client = createClient(EntryService, this.links.to(peer.address));
      const answer = await client.shareVerdicts({ verdicts }, { timeoutMs: exchangeMs });
      this.book.merge(answer.verdicts, this.clock.now());
    } catch (error) {
      this.log.debug('Verdicts not exchanged.', { peer: peer.name, reason: String(error) });
    }
  }
}
