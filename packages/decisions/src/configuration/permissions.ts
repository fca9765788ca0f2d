import { Forbidden, InvalidInput } from '@laburnumstream/common';
import { OperatorRole } from './model.js';
import type { Configuration, ItemChange, Operator, PolicyException } from './model.js';

function isUnlimited({ role, services, workspaces }: Operator): boolean {
  return role === OperatorRole.operator && !services && !workspaces;
}

/** Whether the document has an operator who may change everything. */
export function hasUnlimitedOperator({ operators }: Configuration): boolean {
  return Object.values(operators).some(isUnlimited);
}

/** Throws `InvalidInput` when a change would remove the last operator who may change everything. */
export function checkLockout(before: Configuration, after: Configuration): void {
  if (!hasUnlimitedOperator(before) || hasUnlimitedOperator(after)) return;
  throw new InvalidInput('operators: expected at least one operator without limits');
}

function isExceptionPermitted(
  exception: unknown,
  { services = [], workspaces = [] }: Operator,
): boolean {
  if (!exception) return true;
  const { scope } = exception as PolicyException;
  const coversService = scope.service !== undefined && services.includes(scope.service);
  return coversService || (scope.workspace !== undefined && workspaces.includes(scope.workspace));
}

/** Whether an operator may change all services that use a model. */
function isModelPermitted(
  configuration: Configuration,
  model: string,
  operator: Operator,
): boolean {
  const dependents = Object.entries(configuration.services).filter(
    ([, item]) => item.model === model,
  );
  return dependents.length > 0 && dependents.every(([name]) => operator.services?.includes(name));
}

type PermissionCheck = (
  operator: Operator,
  name: string,
  change: ItemChange,
  document: Configuration,
) => boolean;

/** What operators with limits may change, by part of the document; other parts are forbidden. */
const permissionChecks: Readonly<Record<string, PermissionCheck>> = {
  services: (operator, name) => operator.services?.includes(name) ?? false,
  workspaces: (operator, name) => operator.workspaces?.includes(name) ?? false,
  exceptions: (operator, _name, { from, to }) =>
    isExceptionPermitted(from, operator) && isExceptionPermitted(to, operator),
  releases: (operator, name, _change, document) => isModelPermitted(document, name, operator),
};

/** Throws `Forbidden` when an operator may not make the changes. */
export function checkPermission(
  document: Configuration,
  operator: Operator,
  changes: readonly ItemChange[],
): void {
  if (operator.role !== OperatorRole.operator) {
    throw new Forbidden(`The role ${operator.role} may not change anything.`);
  }
  if (isUnlimited(operator)) return;
  const forbidden = changes.filter((change) => {
    const [part = '', name = ''] = change.path.split('/');
    return !permissionChecks[part]?.(operator, name, change, document);
  });
  if (forbidden.length === 0) return;
  const paths = forbidden.map(({ path }) => path).join(', ');
  throw new Forbidden(`The operator's limits do not allow changes of ${paths}.`);
}
