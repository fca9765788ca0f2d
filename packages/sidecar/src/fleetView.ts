import type { Clock, Log } from '@laburnumstream/common';
import { NamedVersions } from '@laburnumstream/decisions';
import type { WeightMember } from '@laburnumstream/decisions';
import type { WeightNews } from '@laburnumstream/protocol';

const bitsPerByte = 8;

function membersOf({ members }: WeightNews): string {
  return members.map(({ host, version }) => `${host} ${version}`).join();
}

/** What entries told this process of the fleet. */
export class FleetView {
  private news: WeightNews | undefined;

  private readonly named = new NamedVersions();

  constructor(
    /** IP of this instance, which is the name of its member. */
    private readonly host: string,
    private readonly dataCentre: string,
    /** Region of each data centre. */
    private readonly regions: ReadonlyMap<string, string>,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  get isKnown(): boolean {
    return this.news !== undefined;
  }

  get model(): string {
    return this.news?.model ?? '';
  }

  /** Version that operators want; 0 while it is not known. */
  get version(): number {
    return this.news?.version ?? 0;
  }

  get layers(): number {
    return this.news?.layers ?? 0;
  }

  get origin(): string {
    return this.news?.origin ?? '';
  }

  get loadMs(): number {
    return this.news?.loadMs ?? 0;
  }

  /** Time in which the origin's link passes one piece, in milliseconds. */
  get originPieceMs(): number {
    const { chunkBytes = 0, originKbitPerS = 0 } = this.news ?? {};
    return originKbitPerS > 0 ? (chunkBytes * bitsPerByte) / originKbitPerS : 0;
  }

  /** Time since a version was named, in milliseconds; infinite when that was never heard. */
  namedMsAgo(version: number): number {
    return this.clock.now() - (this.named.namedAt(version) ?? -Infinity);
  }

  /** Time since the first version after one that is served was named, in milliseconds. */
  outdatedMs(served: number): number {
    return this.clock.now() - this.named.outdatedAt(served);
  }

  get self(): WeightMember {
    return this.memberOf(this.host, this.dataCentre);
  }

  /** All members, this one included. */
  get members(): readonly WeightMember[] {
    const others = (this.news?.members ?? []).filter(({ host }) => host !== this.host);
    return [...others.map((member) => this.memberOf(member.host, member.dataCentre)), this.self];
  }

  /** Members that serve a version, this one not included. */
  serving(version: number): readonly WeightMember[] {
    return (this.news?.members ?? [])
      .filter((member) => member.version === version && member.host !== this.host)
      .map((member) => this.memberOf(member.host, member.dataCentre));
  }

  /**
   * Takes what an entry told; returns whether that is news. An older version than one already heard
   * of is not taken.
   */
  take(news: WeightNews): boolean {
    if (news.version < this.version) return false;
    const before = this.news;
    const at = this.clock.now() - news.namedMsAgo;
    if (this.named.namedAt(news.version) === undefined) {
      this.log.info('Version wanted.', { version: news.version, namedMsAgo: news.namedMsAgo });
    }
    // The entry that learned of the version first knows best how old it is.
    this.named.add(news.version, at);
    this.news = news;
    return !before || before.version !== news.version || membersOf(before) !== membersOf(news);
  }

  private memberOf(host: string, dataCentre: string): WeightMember {
    return { name: host, dataCentre, region: this.regions.get(dataCentre) ?? '' };
  }
}
