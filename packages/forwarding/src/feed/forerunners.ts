import { HistoryLost, NotFound, OldProof, Unavailable } from '@laburnumstream/common';
import type { SleepAwareClock, StorePosition } from '@laburnumstream/common';
import type { FeedReaders } from '@laburnumstream/decisions';
import type { CallSeries, RacingCall } from './callRace.js';
import { FeedClient } from './feedClient.js';
import type { RelayedChanges } from './feedClient.js';
import { checkRelayed, maxProofAgeMs } from './feedRequest.js';

/** Longest wait for another entry's proof, in milliseconds: a failure of that entry is detected only after it. */
const proofWaitMs = 250;
/** The same after a start, until it is known that the other entry receives the content. */
const firstWaitMs = 40;
/** Time between two calls to an entry that has no proof, in milliseconds. */
const proofIntervalMs = 100;
/** Number of other entries that are asked at the same time. */
const sources = 2;

/** What this entry has when it asks others. */
export interface OwnContent {
  /** Position of the content; undefined if it has none. */
  readonly position: StorePosition | undefined;
  /** Time of the last response of any source on the proof clock; undefined before the first one. */
  readonly respondedAt: number | undefined;
}

/** Asks the entries that are the first to have the store's content after an outage, or after a start of all. */
export class Forerunners {
  private readonly clients = Array.from({ length: sources }, () => new FeedClient());

  constructor(
    private readonly readers: FeedReaders,
    private readonly proofClock: SleepAwareClock,
    private readonly getAddress: (name: string) => string,
    private readonly getOwnContent: () => OwnContent,
  ) {}

  /** Whether one of them is receiving the content. */
  get isReading(): boolean {
    return this.clients.some((client) => client.isSourceReading);
  }

  /** Closes the connections. */
  close(): void {
    this.clients.forEach((client) => client.close());
  }

  /** Returns calls to each of them; `take` gets the response to a call that began at `calledAt`. */
  createSeries<Content>(
    after: StorePosition,
    take: (relayed: RelayedChanges, calledAt: number) => Content,
  ): CallSeries<Content>[] {
    return this.clients.map((client, index) => ({
      getIntervalMs: () => proofIntervalMs,
      overlaps: false,
      start: async (call: RacingCall) => {
        const calledAt = this.proofClock.now();
        const source = this.readers.pickForerunners(calledAt)[index];
        if (source === undefined) throw new NotFound('No other entry can be asked.');
        const relayed = await this.ask(client, source, after, call);
        return take(relayed, calledAt);
      },
    }));
  }

  /** Asks one for a proof that is newer than the last response, and claims its response. */
  private async ask(
    client: FeedClient,
    source: string,
    after: StorePosition,
    call: RacingCall,
  ): Promise<RelayedChanges> {
    const { position, respondedAt = -Infinity } = this.getOwnContent();
    const provenMs = Math.min(maxProofAgeMs, this.proofClock.now() - respondedAt);
    const waitMs = position || client.isSourceReading ? proofWaitMs : firstWaitMs;
    try {
      const address = this.getAddress(source);
      const relayed = await client.ask(address, after, { waitMs, provenMs }, call.signal);
      checkRelayed(relayed, after, position, address);
      const { proofAgeMs } = relayed.provenance;
      if (proofAgeMs > provenMs) throw new OldProof(address, proofAgeMs);
      call.claim();
      return relayed;
    } catch (error) {
      const responses = [Unavailable, OldProof, HistoryLost];
      const hasResponded = responses.some((type) => error instanceof type);
      if (!call.signal.aborted)
        this.readers.recordCall(source, hasResponded, this.proofClock.now());
      throw error;
    }
  }
}
