import { hash32 } from '@laburnumstream/common';
import type { Clock, Random } from '@laburnumstream/common';
import { RoutingTable, isIn, createTarget } from '@laburnumstream/decisions';
import type { Candidate, Configuration, Target } from '@laburnumstream/decisions';
import type { EndpointLoad } from '@laburnumstream/protocol';
import type { EntrySettings } from '@laburnumstream/runtime';
import type { Directory } from './directory.js';

/** Longest time for which a routing table stands without a look at the membership. */
const tableMs = 100;

/** Tables kept for one service: data centres that return come and go for a while. */
const mostIndexes = 8;

/** A service's routing table, when its membership was read, and tables by membership. */
interface ServiceTable {
  readonly table: RoutingTable;
  readonly readAt: number;
  readonly indexes: Map<string, RoutingTable>;
}

/** What a choice depends on. */
export interface RoutedRequest {
  readonly service: string;
  readonly workspace: string;
  readonly affinity: string;
}

function signatureOf(candidates: readonly Candidate[]): string {
  return candidates.map(({ name, dataCentre }) => `${name}@${dataCentre}`).join();
}

function takeReport(target: Target, reported: number, limit: number): void {
  Object.assign(target, { reported, limit: Math.max(1, limit), ownAtReport: target.own });
}

/** Chooses endpoints from tables that are indexed when the membership changes. */
export class Router {
  private readonly targets = new Map<string, Target>();

  private readonly tables = new Map<string, ServiceTable>();

  constructor(
    private readonly settings: EntrySettings,
    private readonly configuration: () => Configuration,
    private readonly directory: Directory,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The name of the endpoint for a request; with `weights` given, one that serves them. */
  choose(request: RoutedRequest, tried: ReadonlySet<string>, weights = ''): string | undefined {
    const { service, workspace, affinity } = request;
    const table = weights ? this.tableWith(service, weights) : this.tableOf(service);
    // Workspaces do not share prefixes, so that each has its own homes.
    const key = affinity ? hash32(`${workspace}\n${affinity}`) : 0;
    return table.choose(key, this.random, tried)?.name;
  }

  /** Work of this entry starts at an endpoint. */
  start(name: string, units: number): void {
    this.targetOf(name).own += units;
  }

  /** Work of this entry ends at an endpoint. */
  end(name: string, units: number): void {
    this.targetOf(name).own -= units;
  }

  /** Takes the load that came with a reply. */
  observe({ instance, inFlight, queued, limit }: EndpointLoad): void {
    takeReport(this.targetOf(instance), inFlight + queued, limit);
  }

  /** A connection to an agent failed: it gets no new work until it beats again. */
  suspect(name: string): void {
    this.directory.suspect(name);
    this.tables.clear();
  }

  private tableOf(service: string): RoutingTable {
    const known = this.tables.get(service);
    const now = this.clock.now();
    if (known && now - known.readAt < tableMs) return known.table;
    const candidates = this.candidatesOf(service);
    candidates.forEach(({ name, reported, limit }) => {
      const target = this.targetOf(name);
      const hasNews = reported !== target.reported || limit !== target.limit;
      if (hasNews) takeReport(target, reported, limit);
    });
    const indexes = known?.indexes ?? new Map<string, RoutingTable>();
    const members = signatureOf(candidates);
    const table = indexes.get(members) ?? this.index(candidates);
    if (indexes.size >= mostIndexes) indexes.clear();
    indexes.set(members, table);
    const readAt = this.directory.isRamping ? -Infinity : now;
    this.tables.set(service, { table, readAt, indexes });
    return table;
  }

  private tableWith(service: string, weights: string): RoutingTable {
    const candidates = this.candidatesOf(service);
    return this.index(candidates.filter(({ name }) => this.directory.serves(name, weights)));
  }

  private candidatesOf(service: string): Candidate[] {
    const configuration = this.configuration();
    return this.directory.candidates(service, (dataCentre) => isIn(configuration, dataCentre));
  }

  private index(candidates: readonly Candidate[]): RoutingTable {
    const members = candidates.map(({ name, dataCentre, region }) => ({
      target: this.targetOf(name),
      dataCentre,
      region,
    }));
    return new RoutingTable(this.settings.instance, this.settings, members);
  }

  private targetOf(name: string): Target {
    let target = this.targets.get(name);
    if (!target) {
      target = createTarget(name);
      this.targets.set(name, target);
    }
    return target;
  }
}
