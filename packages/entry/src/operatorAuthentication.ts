import type { IncomingMessage } from 'node:http';
import { Unauthenticated } from '@laburnumstream/common';
import { OperatorRole, hasUnlimitedOperator } from '@laburnumstream/decisions';
import type { Configuration, Operator } from '@laburnumstream/decisions';
import { getBearerToken, isSameSecret, sha256 } from '@laburnumstream/runtime';

const bootstrapPrefix = 'bootstrap/';

/** An operator whose token is valid. */
export interface KnownOperator {
  readonly name: string;
  readonly operator: Operator;
}

/** The operator of a name in a document; throws `Unauthenticated` when it is there no more. */
export function operatorIn(configuration: Configuration, name: string): Operator {
  const isBootstrap = name.startsWith(bootstrapPrefix) && !hasUnlimitedOperator(configuration);
  const operator = isBootstrap
    ? { role: OperatorRole.operator, tokenHashes: [] }
    : configuration.operators[name];
  if (!operator) throw new Unauthenticated(`${name} is not an operator.`);
  return operator;
}

/**
 * Finds the operator of a request; throws `Unauthenticated`. Operators of the settings count only
 * until the configuration names one who may change everything.
 */
export function authenticate(
  request: IncomingMessage,
  configuration: Configuration,
  bootstrap: Readonly<Record<string, string>>,
): KnownOperator {
  const hash = sha256(getBearerToken(request));
  const known = Object.entries(configuration.operators).find(([, { tokenHashes }]) =>
    tokenHashes.some((tokenHash) => isSameSecret(tokenHash, hash)),
  );
  if (known) return { name: known[0], operator: known[1] };
  const first = Object.entries(bootstrap).find(([, tokenHash]) => isSameSecret(tokenHash, hash));
  if (!first || hasUnlimitedOperator(configuration)) throw new Unauthenticated();
  const name = `${bootstrapPrefix}${first[0]}`;
  return { name, operator: operatorIn(configuration, name) };
}
