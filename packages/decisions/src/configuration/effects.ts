import type { Configuration, Policy, Scope } from './model.js';
import { policyFor } from './policy.js';

/** A policy value before and after a change. */
export interface ValueChange {
  readonly from: number;
  readonly to: number;
}

/** Differences in the effective policy of a group of instances. */
export interface PolicyEffect {
  readonly policy: Readonly<Partial<Record<keyof Policy, ValueChange>>>;
  /** Set when the differences apply to one workspace only. */
  readonly workspace?: string;
  readonly instances: readonly string[];
}

/** The location of an instance, as matched by scopes. */
export interface InstanceLocation {
  readonly instance: string;
  readonly dataCentre: string;
  readonly service: string;
}

function diffPolicies(from: Policy, to: Policy): PolicyEffect['policy'] {
  const names = Object.keys(to) as (keyof Policy)[];
  const changed = names.filter((name) => from[name] !== to[name]);
  return Object.fromEntries(changed.map((name) => [name, { from: from[name], to: to[name] }]));
}

function getScopedWorkspaces({ exceptions }: Configuration): string[] {
  return exceptions.flatMap(({ scope }) => scope.workspace ?? []);
}

/** The differences in effective policy between two documents, grouped by equal differences. */
export function computeEffects(
  before: Configuration,
  after: Configuration,
  locations: readonly InstanceLocation[],
  wallMs: number,
): PolicyEffect[] {
  const workspaces = new Set([
    undefined,
    ...getScopedWorkspaces(before),
    ...getScopedWorkspaces(after),
  ]);
  const groups = new Map<string, PolicyEffect>();
  [...workspaces].forEach((workspace) => {
    locations.forEach((location) => {
      const scope: Scope = { ...location, ...(workspace === undefined ? {} : { workspace }) };
      const [from, to] = [policyFor(before, scope, wallMs), policyFor(after, scope, wallMs)];
      const policy = diffPolicies(from, to);
      if (Object.keys(policy).length === 0) return;
      const key = JSON.stringify([workspace, policy]);
      const { instances } = groups.get(key) ?? { instances: [] };
      const group = { policy, instances: [...instances, location.instance] };
      groups.set(key, workspace === undefined ? group : { ...group, workspace });
    });
  });
  return [...groups.values()];
}
