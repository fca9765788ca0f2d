import type { Conviction, CrashNews, CrashReport } from '@laburnumstream/decisions';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { CrashNews as CrashNewsMessage } from '@laburnumstream/protocol';
import type { CrashGuard, CrashListener } from './crashGuard.js';
import type { EntryPeers } from './entryPeers.js';

/** Maximum number of traits in one datagram, so that it fits a packet. */
const maxTraitsPerDatagram = 40;
/** Maximum number of convictions that are repeated every second. */
const maxRepeatedConvictions = 20;

const noNews: CrashNews = { crashes: [], survivals: [], convictions: [], completions: 0 };

/** Divides a crash into reports that each fit a datagram. */
function splitReport({ endpoint, msAgo, traits }: CrashReport): CrashReport[] {
  const count = Math.ceil(traits.length / maxTraitsPerDatagram);
  return Array.from({ length: count }, (_, index) => {
    const start = index * maxTraitsPerDatagram;
    return { endpoint, msAgo, traits: traits.slice(start, start + maxTraitsPerDatagram) };
  });
}

/** Divides convictions into groups that each fit a datagram. */
function divide(convictions: readonly Conviction[]): Conviction[][] {
  const groups: Conviction[][] = [];
  let traits = Infinity;
  convictions.forEach((conviction) => {
    traits += conviction.traits.length;
    if (traits > maxTraitsPerDatagram) {
      groups.push([]);
      traits = conviction.traits.length;
    }
    groups.at(-1)!.push(conviction);
  });
  return groups;
}

function encode({ crashes, survivals, convictions, completions }: CrashNews) {
  return {
    case: 'crashes' as const,
    value: {
      crashes: crashes.map((crash) => ({ ...crash, traits: [...crash.traits] })),
      survivals: [...survivals],
      completions,
      convictions: convictions.map((conviction) => ({
        ...conviction,
        traits: [...conviction.traits],
      })),
    },
  };
}

/** Tells other entries directly of crashes and convictions; the store may be away. */
export class CrashExchange implements CrashListener {
  constructor(
    private readonly peers: EntryPeers,
    private readonly guard: CrashGuard,
    private readonly datagrams: FleetDatagrams,
  ) {
    guard.addListener(this);
  }

  onNews(news: CrashNews): void {
    const { hosts } = this.peers;
    news.crashes.flatMap(splitReport).forEach((crash) => {
      const traits = new Set(crash.traits);
      const survivals = news.survivals.filter(({ trait }) => traits.has(trait));
      this.datagrams.sendAll(encode({ ...news, crashes: [crash], survivals }), hosts);
    });
  }

  onConviction(conviction: Conviction): void {
    const { hosts } = this.peers;
    this.datagrams.sendAll(encode({ ...noNews, convictions: [conviction] }), hosts);
  }

  /** Others withdraw it by their own evidence, or read the withdrawal from the store. */
  onWithdrawal(): void {}

  /** Repeats the convictions to the entries of this region, for those that have started since. */
  repeatConvictions(): void {
    const convictions = this.guard.convictions.slice(0, maxRepeatedConvictions);
    if (convictions.length === 0) return;
    const { regionHosts } = this.peers;
    divide(convictions).forEach((some) =>
      this.datagrams.sendAll(encode({ ...noNews, convictions: some }), regionHosts),
    );
  }

  /** Merges what another entry tells, and answers with completed requests that it does not know of. */
  receive(message: CrashNewsMessage, host: string): void {
    const added = this.guard.receive(message);
    if (added.length === 0) return;
    this.datagrams.send(encode({ ...noNews, survivals: added }), host);
  }
}
