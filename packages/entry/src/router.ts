import { hash32 } from '@laburnumstream/common';
import type { Clock, Random } from '@laburnumstream/common';
import { RoutingTable, isDataCentreInService, createTarget } from '@laburnumstream/decisions';
import type { Candidate, Configuration, Target } from '@laburnumstream/decisions';
import type { EndpointLoad } from '@laburnumstream/protocol';
import type { EntrySettings } from '@laburnumstream/runtime';
import type { MemberDirectory } from './memberDirectory.js';

/** Maximum time for which a routing table is used without checking the membership. */
const tableMaxAgeMs = 100;

/** Tables cached per service: candidates vary from call to call while a data centre ramps up. */
const maxTablesPerService = 8;

/** A service's current routing table and the cache of tables by membership key. */
interface ServiceTable {
  readonly table: RoutingTable;
  /** Monotonic time at which the membership was last checked, in milliseconds. */
  readonly refreshedAt: number;
  readonly tablesByMembership: Map<string, RoutingTable>;
}

/** The fields of a request that routing depends on. */
export interface RoutedRequest {
  readonly service: string;
  readonly workspace: string;
  readonly affinity: string;
}

function getMembershipKey(candidates: readonly Candidate[]): string {
  return candidates.map(({ name, dataCentre }) => `${name}@${dataCentre}`).join();
}

function applyReport(target: Target, reported: number, limit: number): void {
  Object.assign(target, { reported, limit: Math.max(1, limit), ownAtReport: target.own });
}

/** Selects endpoints from routing tables that are rebuilt when the membership changes. */
export class Router {
  private readonly targets = new Map<string, Target>();

  private readonly serviceTables = new Map<string, ServiceTable>();

  constructor(
    private readonly settings: EntrySettings,
    private readonly configuration: () => Configuration,
    private readonly directory: MemberDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The endpoint for a request; with the digest `weights` given, one that serves those weights. */
  choose(request: RoutedRequest, tried: ReadonlySet<string>, weights = ''): string | undefined {
    const { service, workspace, affinity } = request;
    const table = weights ? this.buildTableForWeights(service, weights) : this.getTable(service);
    // The workspace is part of the key because prompt prefixes are not shared between workspaces.
    const key = affinity ? hash32(`${workspace}\n${affinity}`) : 0;
    return table.choose(key, this.random, tried)?.name;
  }

  /** Adds work dispatched by this entry to an endpoint's load. */
  recordStart(name: string, units: number): void {
    this.getTarget(name).own += units;
  }

  /** Removes finished work of this entry from an endpoint's load. */
  recordEnd(name: string, units: number): void {
    this.getTarget(name).own -= units;
  }

  /** Updates an endpoint's load from a response. */
  updateLoad({ instance, inFlight, queued, limit }: EndpointLoad): void {
    applyReport(this.getTarget(instance), inFlight + queued, limit);
  }

  /** Excludes an agent after a connection failure, until a probe reaches it or it restarts. */
  markUnreachable(name: string): void {
    this.directory.markUnreachable(name);
    this.serviceTables.clear();
  }

  private getTable(service: string): RoutingTable {
    const cached = this.serviceTables.get(service);
    const now = this.clock.now();
    if (cached && now - cached.refreshedAt < tableMaxAgeMs) return cached.table;
    const candidates = this.getCandidates(service);
    candidates.forEach(({ name, reported, limit }) => {
      const target = this.getTarget(name);
      const isChanged = reported !== target.reported || limit !== target.limit;
      if (isChanged) applyReport(target, reported, limit);
    });
    const tablesByMembership = cached?.tablesByMembership ?? new Map<string, RoutingTable>();
    const key = getMembershipKey(candidates);
    const table = tablesByMembership.get(key) ?? this.buildTable(candidates);
    if (tablesByMembership.size >= maxTablesPerService) tablesByMembership.clear();
    tablesByMembership.set(key, table);
    // While a data centre ramps up, candidates are drawn anew for each request.
    const refreshedAt = this.directory.isRamping ? -Infinity : now;
    this.serviceTables.set(service, { table, refreshedAt, tablesByMembership });
    return table;
  }

  private buildTableForWeights(service: string, weights: string): RoutingTable {
    const candidates = this.getCandidates(service);
    return this.buildTable(candidates.filter(({ name }) => this.directory.serves(name, weights)));
  }

  private getCandidates(service: string): Candidate[] {
    const configuration = this.configuration();
    return this.directory.candidates(service, (dataCentre) =>
      isDataCentreInService(configuration, dataCentre),
    );
  }

  private buildTable(candidates: readonly Candidate[]): RoutingTable {
    const members = candidates.map(({ name, dataCentre, region }) => ({
      target: this.getTarget(name),
      dataCentre,
      region,
    }));
    return new RoutingTable(this.settings.instance, this.settings, members);
  }

  private getTarget(name: string): Target {
    let target = this.targets.get(name);
    if (!target) {
      target = createTarget(name);
      this.targets.set(name, target);
    }
    return target;
  }
}
