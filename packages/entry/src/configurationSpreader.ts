import { Timeout, toFailure } from '@laburnumstream/common';
import type { Clock, Instance, Log, Metrics, Random } from '@laburnumstream/common';
import { GossipTopology } from '@laburnumstream/decisions';
import { DocumentSource } from './configurationKeeper.js';
import type { ConfigurationKeeper } from './configurationKeeper.js';
import type { ConfigurationPeers } from './configurationPeers.js';
import type { ConfigurationWatcher } from './configurationWatcher.js';

const roundMs = 1_000;
/** Time between rounds of an entry that has no configuration yet. */
const newcomerRoundMs = 200;
const suspectMs = 8_000;
/** Time beyond a whole watch after which the store counts as silent. */
const silenceGraceMs = 2_000;
/** Most generations of silent peers whose tellees are told in their place. */
const mostSkips = 3;

/** Spreads the configuration between entries: watches, rounds of comparison and announcements. */
export class ConfigurationSpreader {
  private readonly spread: GossipTopology;

  private watching: AbortController | undefined;

  private pulled = 0;

  constructor(
    self: Instance,
    private readonly keeper: ConfigurationKeeper,
    private readonly watcher: ConfigurationWatcher,
    private readonly peers: ConfigurationPeers,
    private readonly entries: () => readonly Instance[],
    private readonly clock: Clock,
    private readonly random: Random,
    watchMs: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    const times = { suspectMs, silenceMs: watchMs + silenceGraceMs };
    this.spread = new GossipTopology(self, times, random, clock.now());
  }

  get isWatching(): boolean {
    return this.watching !== undefined;
  }

  /** Time since this entry reached the store, in milliseconds. */
  get silenceMs(): number {
    return this.spread.silenceMs(this.clock.now());
  }

  /** Runs rounds until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    this.keeper.onAdoption((revision, source) => {
      void this.tell(revision, source, signal);
    });
    while (!signal.aborted) {
      this.spread.setMembers(this.entries());
      this.decideWatch(signal);
      const isNewcomer = this.keeper.configuration.revision === 0;
      this.compareWithPeers(isNewcomer, signal);
      const pauseMs = (isNewcomer ? newcomerRoundMs : roundMs) * (0.8 + 0.4 * this.random.next());
      await this.clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  /** A peer tells of a revision: reads the document from it when it is newer. */
  async heard(teller: Instance, revision: number, signal: AbortSignal): Promise<void> {
    if (revision <= Math.max(this.keeper.configuration.revision, this.pulled)) return;
    this.pulled = revision;
    const isRead = await this.compareWith(teller, signal);
    if (!isRead && this.pulled === revision) this.pulled = 0;
  }

  /** Asks several peers for a newer configuration at once; ends with the first answer. */
  async refresh(signal: AbortSignal): Promise<void> {
    this.spread.setMembers(this.entries());
    const answers = this.peersOf(this.spread.selectPeers(true, this.clock.now())).map(async (peer) => {
      if (!(await this.compareWith(peer, signal)))
        throw new Timeout(`${peer.name} did not answer.`);
    });
    await Promise.any(answers).catch(() => undefined);
  }

  private peersOf(members: readonly { readonly name: string }[]): Instance[] {
    const known = this.entries();
    return members.flatMap(({ name }) => known.find((entry) => entry.name === name) ?? []);
  }

  private decideWatch(signal: AbortSignal): void {
    const shouldWatch = this.spread.shouldWatch(this.clock.now());
    if (shouldWatch === this.isWatching) return;
    this.metrics.gauge('configuration_watching', shouldWatch ? 1 : 0);
    this.watching?.abort();
    this.watching = undefined;
    if (!shouldWatch) return;
    this.watching = new AbortController();
    const until = AbortSignal.any([signal, this.watching.signal]);
    void this.watcher.run(() => this.spread.recordStoreContact(this.clock.now()), until);
    this.log.debug('Watching the store.');
  }

  private compareWithPeers(isNewcomer: boolean, signal: AbortSignal): void {
    const peers = this.peersOf(this.spread.selectPeers(isNewcomer, this.clock.now()));
    peers.forEach((peer) => void this.compareWith(peer, signal));
  }

  private async compareWith(peer: Instance, signal: AbortSignal): Promise<boolean> {
    try {
      const answer = await this.peers.sync(peer, this.keeper.configuration.revision, signal);
      this.spread.recordResponse(peer, answer.silenceMs, this.clock.now());
      if (answer.document) this.keeper.adopt(answer.document, DocumentSource.peer);
      else this.keeper.compare(answer.revision, answer.changeId);
      return true;
    } catch (error) {
      this.suspect(peer, error);
      return false;
    }
  }

  private suspect(peer: Instance, error: unknown): void {
    this.spread.recordFailure(peer, this.clock.now());
    this.metrics.count('configuration_peer_failed');
    this.log.debug('A peer gave no answer.', { peer: peer.name, type: toFailure(error).type });
  }

  private async tell(revision: number, source: DocumentSource, signal: AbortSignal): Promise<void> {
    const tellees = this.spread.notifyTargets(revision, source === DocumentSource.store);
    await this.tellAll(tellees, revision, mostSkips, signal);
  }

  /** Tells peers of a revision; in the place of a silent peer tells those that it would have told. */
  private async tellAll(
    tellees: readonly { readonly name: string }[],
    revision: number,
    skips: number,
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(
      this.peersOf(tellees).map(async (peer) => {
        try {
          await this.peers.announce(peer, revision, signal);
        } catch (error) {
          if (signal.aborted) return;
          this.suspect(peer, error);
          const next = this.spread.notifyTargetsOf(peer, revision);
          if (skips > 0) await this.tellAll(next, revision, skips - 1, signal);
        }
      }),
    );
  }
}
