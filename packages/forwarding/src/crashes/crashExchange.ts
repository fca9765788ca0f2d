import type { Quarantine, CrashUpdate, CrashReport } from '@laburnumstream/decisions';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { CrashNews as CrashMessage } from '@laburnumstream/protocol';
import type { CrashGuard, CrashListener } from './crashGuard.js';
import type { EntryPeers } from '../peers/entryPeers.js';

/** Maximum number of traits in one datagram, so that it fits a packet. */
const maxTraitsPerDatagram = 40;
/** Maximum number of quarantines that are repeated every second. */
const maxRepeatedQuarantines = 20;

const emptyUpdate: CrashUpdate = { crashes: [], survivals: [], quarantines: [], completions: 0 };

/** Divides a crash into reports that each fit a datagram. */
function splitReport({ endpoint, msAgo, traits }: CrashReport): CrashReport[] {
  const count = Math.ceil(traits.length / maxTraitsPerDatagram);
  return Array.from({ length: count }, (_, index) => {
    const start = index * maxTraitsPerDatagram;
    return { endpoint, msAgo, traits: traits.slice(start, start + maxTraitsPerDatagram) };
  });
}

/** Divides quarantines into groups that each fit a datagram. */
function divide(quarantines: readonly Quarantine[]): Quarantine[][] {
  const groups: Quarantine[][] = [];
  let traits = Infinity;
  quarantines.forEach((quarantine) => {
    traits += quarantine.traits.length;
    if (traits > maxTraitsPerDatagram) {
      groups.push([]);
      traits = quarantine.traits.length;
    }
    groups.at(-1)!.push(quarantine);
  });
  return groups;
}

function encode({ crashes, survivals, quarantines, completions }: CrashUpdate) {
  return {
    case: 'crashes' as const,
    value: {
      crashes: crashes.map((crash) => ({ ...crash, traits: [...crash.traits] })),
      survivals: [...survivals],
      completions,
      convictions: quarantines.map((quarantine) => ({
        ...quarantine,
        traits: [...quarantine.traits],
      })),
    },
  };
}

/** Tells other entries directly of crashes and quarantines; the store may be away. */
export class CrashExchange implements CrashListener {
  constructor(
    private readonly peers: EntryPeers,
    private readonly guard: CrashGuard,
    private readonly datagrams: FleetDatagrams,
  ) {
    guard.addListener(this);
  }

  onUpdate(update: CrashUpdate): void {
    const { hosts } = this.peers;
    update.crashes.flatMap(splitReport).forEach((crash) => {
      const traits = new Set(crash.traits);
      const survivals = update.survivals.filter(({ trait }) => traits.has(trait));
      this.datagrams.sendAll(encode({ ...update, crashes: [crash], survivals }), hosts);
    });
  }

  onQuarantine(quarantine: Quarantine): void {
    const { hosts } = this.peers;
    this.datagrams.sendAll(encode({ ...emptyUpdate, quarantines: [quarantine] }), hosts);
  }

  /** Others release it by their own evidence, or read the release from the store. */
  onRelease(): void {}

  /** Repeats the quarantines to the entries of this region, for those that have started since. */
  repeatQuarantines(): void {
    const quarantines = this.guard.quarantines.slice(0, maxRepeatedQuarantines);
    if (quarantines.length === 0) return;
    const { regionHosts } = this.peers;
    divide(quarantines).forEach((some) =>
      this.datagrams.sendAll(encode({ ...emptyUpdate, quarantines: some }), regionHosts),
    );
  }

  /** Merges the report of another entry, and answers with completed requests that it does not know of. */
  receive(message: CrashMessage, host: string): void {
    const { crashes, survivals, convictions, completions } = message;
    const added = this.guard.receive({
      crashes,
      survivals,
      quarantines: convictions,
      completions,
    });
    if (added.length === 0) return;
    this.datagrams.send(encode({ ...emptyUpdate, survivals: added }), host);
  }
}
