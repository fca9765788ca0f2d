import { NotFound } from '@laburnumstream/common';
import { DataCentreState } from './model.js';
import type { Configuration, Policy, Scope, ServiceDefinition } from './model.js';

function matchesScope(scope: Scope, target: Scope): boolean {
  return (Object.keys(scope) as (keyof Scope)[]).every((key) => scope[key] === target[key]);
}

/** The effective policy of a target: the defaults overridden by matching exceptions in order. */
export function policyFor(configuration: Configuration, target: Scope, wallMs: number): Policy {
  return configuration.exceptions
    .filter(({ expiresAt }) => expiresAt === undefined || expiresAt > wallMs)
    .filter(({ scope }) => matchesScope(scope, target))
    .reduce<Policy>((policy, exception) => ({ ...policy, ...exception.policy }), {
      ...configuration.defaults,
    });
}

/** Whether a data centre accepts new work; true unless operators took it out. */
export function isDataCentreInService(configuration: Configuration, dataCentre: string): boolean {
  return configuration.dataCentres[dataCentre]?.state !== DataCentreState.out;
}

/** The definition of a service; throws `NotFound`. */
export function getService(configuration: Configuration, service: string): ServiceDefinition {
  const definition = configuration.services[service];
  if (!definition) throw new NotFound(`There is no service ${service}.`);
  return definition;
}
