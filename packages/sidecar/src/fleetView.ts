import type { Clock, Log } from '@laburnumstream/common';
import { NamedVersions } from '@laburnumstream/decisions';
import type { WeightMember } from '@laburnumstream/decisions';
import type { WeightNews } from '@laburnumstream/protocol';

const bitsPerByte = 8;

/** Formats the members and their versions, for comparison. */
function formatMembers({ members }: WeightNews): string {
  return members.map(({ host, version }) => `${host} ${version}`).join();
}

/** State of the fleet as last announced by entries. */
export class FleetView {
  private latest: WeightNews | undefined;

  private readonly namedVersions = new NamedVersions();

  constructor(
    /** IP of this instance, which is also its name as a member. */
    private readonly host: string,
    private readonly dataCentre: string,
    /** Region of each data centre. */
    private readonly regions: ReadonlyMap<string, string>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  get isKnown(): boolean {
    return this.latest !== undefined;
  }

  get model(): string {
    return this.latest?.model ?? '';
  }

  /** Version that operators want to be served; 0 while unknown. */
  get version(): number {
    return this.latest?.version ?? 0;
  }

  get layers(): number {
    return this.latest?.layers ?? 0;
  }

  get origin(): string {
    return this.latest?.origin ?? '';
  }

  get loadMs(): number {
    return this.latest?.loadMs ?? 0;
  }

  /** Transfer time of one piece over the origin's link, in milliseconds; 0 while unknown. */
  get originPieceMs(): number {
    const { chunkBytes = 0, originKbitPerS = 0 } = this.latest ?? {};
    return originKbitPerS > 0 ? (chunkBytes * bitsPerByte) / originKbitPerS : 0;
  }

  /** Time since operators named a version, in milliseconds; infinite for an unknown version. */
  namedMsAgo(version: number): number {
    return this.clock.now() - (this.namedVersions.namedAt(version) ?? -Infinity);
  }

  /** Time since operators named the first version newer than `served`, in milliseconds. */
  outdatedMs(served: number): number {
    return this.clock.now() - this.namedVersions.outdatedAt(served);
  }

  /** The same as far as an entry has proven it; undefined if none has. */
  provenOutdatedMs(served: number): number | undefined {
    const date = this.namedVersions.provenOutdatedDate(served);
    return date && this.clock.now() - date.at;
  }

  /** This instance as a member. */
  get self(): WeightMember {
    return this.toMember(this.host, this.dataCentre);
  }

  /** All members, including this one. */
  get members(): readonly WeightMember[] {
    const others = (this.latest?.members ?? []).filter(({ host }) => host !== this.host);
    return [...others.map((member) => this.toMember(member.host, member.dataCentre)), this.self];
  }

  /** Members that serve a version, excluding this one. */
  membersServing(version: number): readonly WeightMember[] {
    return (this.latest?.members ?? [])
      .filter((member) => member.version === version && member.host !== this.host)
      .map((member) => this.toMember(member.host, member.dataCentre));
  }

  /**
   * Applies an announcement from an entry; returns whether the wanted version or the members changed.
   * Ignores announcements of versions older than the known one.
   */
  update(announcement: WeightNews): boolean {
    if (announcement.version < this.version) return false;
    const previous = this.latest;
    const { version, namedMsAgo, unseenMs } = announcement;
    if (this.namedVersions.namedAt(version) === undefined)
      this.log.info('Version wanted.', { version, namedMsAgo, unseenMs });
    // Entries disagree on the age of a version: the earliest time counts, as the first entry to learn
    // of the version knows its age best. One that has started since can only guess it.
    const namedAt = this.clock.now() - namedMsAgo - unseenMs;
    this.namedVersions.addReported(version, namedAt, unseenMs);
    this.latest = announcement;
    return (
      !previous ||
      previous.version !== announcement.version ||
      formatMembers(previous) !== formatMembers(announcement)
    );
  }

  private toMember(host: string, dataCentre: string): WeightMember {
    return { name: host, dataCentre, region: this.regions.get(dataCentre) ?? '' };
  }
}
