import { makeEntrySettings } from '@laburnumstream/bench';
import { PlatformEngine, PlatformStore } from '@laburnumstream/standins';
import { eventually } from './assertions.js';
import { BalancedEntry } from './balancedEntry.js';
import { createConfiguration, firstStart } from './platformFleet.js';
import { roomyShape, withShape, work } from './stopFleet.js';

const engineCount = 2;
const slots = 200;
/** Time between two checks of an entry's readiness, in milliseconds. */
const checkIntervalMs = 1_000;

/** Entries in their own processes behind a load balancer, with a store and engines. */
export class RollingFleet {
  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(
    private readonly store: PlatformStore,
    private readonly engines: readonly PlatformEngine[],
    readonly entries: readonly BalancedEntry[],
  ) {}

  static async start(size: number): Promise<RollingFleet> {
    const store = await PlatformStore.start();
    const engines = await Promise.all(
      Array.from({ length: engineCount }, (_, index) => PlatformEngine.start(`e${index}`, work)),
    );
    store.write('op/config', withShape(createConfiguration(1, ['key-1']), roomyShape));
    engines.forEach(({ id, address }) => {
      const registration = { Service: 'desk', Address: address, Zone: 'a', Slots: slots };
      store.write(`servers/${id}`, { ...registration, State: 'ready', born: firstStart });
    });
    const fleet = new RollingFleet(store, engines, await createEntries(store.address, size));
    await Promise.all(fleet.entries.map((entry) => entry.start()));
    fleet.balance();
    const areReady = (): boolean => fleet.entries.every(({ isInRotation }) => isInRotation);
    await eventually(areReady, 'all entries are in rotation');
    return fleet;
  }

  /** Restarts the entries one after the other; resolves with their exit codes. */
  async restartAll(): Promise<(number | null)[]> {
    const exitCodes: (number | null)[] = [];
    for (const entry of this.entries) {
      exitCodes.push(await entry.stop());
      await entry.start();
      await eventually(() => entry.isInRotation, 'the entry is in rotation again');
    }
    return exitCodes;
  }

  /** Ids of the requests that engines have begun to execute. */
  get ranIds(): ReadonlySet<string> {
    return new Set(this.engines.flatMap(({ startedRequestIds }) => startedRequestIds));
  }

  /** Returns the entry that a caller's new connection comes to; a retry comes to another one. */
  route(caller: number, tried: ReadonlySet<BalancedEntry>): BalancedEntry {
    const open = this.entries.filter((entry) => entry.isInRotation && !tried.has(entry));
    const candidates = open.length > 0 ? open : this.entries;
    return candidates[caller % candidates.length]!;
  }

  close(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.entries.forEach((entry) => entry.close());
    this.engines.forEach((engine) => engine.close());
    this.store.close();
  }

  private balance(): void {
    this.entries.forEach((entry, index) => {
      const check = (): void => void entry.check();
      setTimeout(
        () => {
          this.timers.push(setInterval(check, checkIntervalMs));
        },
        (index * checkIntervalMs) / this.entries.length,
      );
    });
  }
}

/** Entries share the ports of one range, each at an address of its own. */
async function createEntries(store: string, size: number): Promise<BalancedEntry[]> {
  const entries: BalancedEntry[] = [];
  let range: string | undefined;
  while (entries.length < size) {
    const lines = await makeEntrySettings(store);
    const name = `front-${entries.length + 1}`;
    range ??= lines.PortRange!;
    const address = { NodeName: name, Ip: `127.0.1.${entries.length + 1}`, PortRange: range };
    entries.push(new BalancedEntry({ ...lines, ...address, FirstStart: 'true' }));
  }
  return entries;
}
