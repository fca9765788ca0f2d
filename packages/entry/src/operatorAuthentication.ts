import type { IncomingMessage } from 'node:http';
import { Unauthenticated } from '@laburnumstream/common';
import { OperatorRole, hasUnlimitedOperator } from '@laburnumstream/decisions';
import type { Configuration, Operator } from '@laburnumstream/decisions';
import { getBearerToken, isSameSecret, sha256 } from '@laburnumstream/runtime';

const bootstrapPrefix = 'bootstrap/';

/** An operator whose token is valid. */
export interface AuthenticatedOperator {
  readonly name: string;
  readonly operator: Operator;
}

/** The operator with this name; throws `Unauthenticated` when the document no longer has it. */
export function getOperator(configuration: Configuration, name: string): Operator {
  const isBootstrap = name.startsWith(bootstrapPrefix) && !hasUnlimitedOperator(configuration);
  const operator = isBootstrap
    ? { role: OperatorRole.operator, tokenHashes: [] }
    : configuration.operators[name];
  if (!operator) throw new Unauthenticated(`${name} is not an operator.`);
  return operator;
}

/**
 * Authenticates an operator by bearer token; throws `Unauthenticated`. Bootstrap operators from the
 * settings are accepted only until the configuration has an operator who may change everything.
 */
export function authenticate(
  request: IncomingMessage,
  configuration: Configuration,
  bootstrap: Readonly<Record<string, string>>,
): AuthenticatedOperator {
  const hash = sha256(getBearerToken(request));
  const configured = Object.entries(configuration.operators).find(([, { tokenHashes }]) =>
    tokenHashes.some((tokenHash) => isSameSecret(tokenHash, hash)),
  );
  if (configured) return { name: configured[0], operator: configured[1] };
  const bootstrapped = Object.entries(bootstrap).find(([, tokenHash]) =>
    isSameSecret(tokenHash, hash),
  );
  if (!bootstrapped || hasUnlimitedOperator(configuration)) throw new Unauthenticated();
  const name = `${bootstrapPrefix}${bootstrapped[0]}`;
  return { name, operator: getOperator(configuration, name) };
}
