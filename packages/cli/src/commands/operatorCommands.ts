import { readFileSync } from 'node:fs';
import { InvalidInput } from '@laburnumstream/common';
import type { Command, Invocation } from '../command.js';
import { renderAudit, renderChange, renderExceptions, renderStatus } from './rendering.js';
import { waitForRollOut } from './rollOutProgress.js';

function getRequiredArgument({ positionals }: Invocation, position: number, name: string): string {
  const value = positionals[position];
  if (value) return value;
  throw new InvalidInput(`The argument ${name} is missing.`);
}

function readObject(file: string): object {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as object;
  } catch (error) {
    throw new InvalidInput(`${file} is not a readable JSON file: ${String(error)}`);
  }
}

/** Creates the request body of a change: its fields, options and reason. */
function createChangeBody({ reason, mode }: Invocation, fields: object = {}): object {
  return { ...fields, ...mode, reason };
}

function createAuditPath({ since, limit }: Invocation): string {
  const query = new URLSearchParams();
  if (since !== undefined) query.set('since', since);
  if (limit !== undefined) query.set('limit', limit);
  return `audit?${query.toString()}`;
}

const exceptionActions: Readonly<Record<string, (invocation: Invocation) => Promise<unknown>>> = {
  list: ({ client }) => client.call('GET', 'exceptions'),
  add: (invocation) => {
    const fields = readObject(getRequiredArgument(invocation, 1, 'FILE'));
    return invocation.client.call('POST', 'exceptions', createChangeBody(invocation, fields));
  },
  remove: (invocation) => {
    const path = `exceptions/${encodeURIComponent(getRequiredArgument(invocation, 1, 'ID'))}`;
    return invocation.client.call('DELETE', path, createChangeBody(invocation));
  },
};

const convictionActions: Readonly<Record<string, (invocation: Invocation) => Promise<unknown>>> = {
  list: ({ client }) => client.call('GET', 'convictions'),
  lift: (invocation) => {
    const path = `convictions/${encodeURIComponent(getRequiredArgument(invocation, 1, 'FINGERPRINT'))}`;
    return invocation.client.call('DELETE', path, { reason: invocation.reason });
  },
};

const rollOutActions: Readonly<Record<string, (invocation: Invocation) => Promise<unknown>>> = {
  start: async (invocation) => {
    const model = getRequiredArgument(invocation, 1, 'MODEL');
    const version = getRequiredArgument(invocation, 2, 'VERSION');
    const body = createChangeBody(invocation, { version });
    const response = await invocation.client.call('POST', `roll-outs/${model}`, body);
    return invocation.wait ? waitForRollOut(invocation, model) : response;
  },
  status: (invocation) => {
    const model = getRequiredArgument(invocation, 1, 'MODEL');
    if (invocation.wait) return waitForRollOut(invocation, model);
    return invocation.client.call('GET', `roll-outs/${model}`);
  },
};

function runAction(
  actions: Readonly<Record<string, (invocation: Invocation) => Promise<unknown>>>,
  invocation: Invocation,
): Promise<unknown> {
  const action = actions[getRequiredArgument(invocation, 0, 'ACTION')];
  if (action) return action(invocation);
  throw new InvalidInput(`The action must be one of ${Object.keys(actions).join(', ')}.`);
}

function createDataCentreCommand(action: string, summary: string): Command {
  return {
    usage: `${action} DATA-CENTRE --reason TEXT`,
    summary,
    run: async (invocation) => {
      const name = encodeURIComponent(getRequiredArgument(invocation, 0, 'DATA-CENTRE'));
      const body = createChangeBody(invocation);
      return invocation.client.call('POST', `data-centres/${name}/${action}`, body);
    },
    render: renderChange,
  };
}

/** Operators' commands by name. */
export const operatorCommands: Readonly<Record<string, Command>> = {
  get: {
    usage: 'get',
    summary: 'shows the configuration in force',
    run: ({ client }) => client.call('GET', 'configuration'),
  },
  apply: {
    usage: 'apply FILE --reason TEXT [--dry-run] [--if-revision N]',
    summary: 'patches parts of the configuration item by item; null removes an item',
    run: async (invocation) => {
      const parts = readObject(getRequiredArgument(invocation, 0, 'FILE'));
      const body = createChangeBody(invocation, parts);
      return invocation.client.call('POST', 'configuration', body);
    },
    render: renderChange,
  },
  exceptions: {
    usage: 'exceptions list | add FILE --reason TEXT | remove ID --reason TEXT',
    summary: 'shows or changes the exceptions to the defaults',
    run: async (invocation) => runAction(exceptionActions, invocation),
    render: renderExceptions,
  },
  convictions: {
    usage: 'convictions list | lift FINGERPRINT --reason TEXT',
    summary: 'shows or lifts refusals of requests that crash endpoints',
    run: async (invocation) => runAction(convictionActions, invocation),
  },
  'take-out': createDataCentreCommand('take-out', 'takes a data centre out of service'),
  return: createDataCentreCommand('return', 'returns a data centre to service'),
  'roll-out': {
    usage: 'roll-out start MODEL VERSION --reason TEXT | status MODEL [--wait]',
    summary: 'starts or shows the roll-out of a version',
    run: async (invocation) => runAction(rollOutActions, invocation),
  },
  status: {
    usage: 'status',
    summary: 'shows instances and data centres',
    run: ({ client }) => client.call('GET', 'status'),
    render: renderStatus,
  },
  audit: {
    usage: 'audit [--since REVISION] [--limit N]',
    summary: 'shows the audit trail of changes, older parts included',
    run: (invocation) => invocation.client.call('GET', createAuditPath(invocation)),
    render: renderAudit,
  },
  change: {
    usage: 'change CHANGE-ID',
    summary: 'tells whether a change is accepted',
    run: async (invocation) => {
      const id = encodeURIComponent(getRequiredArgument(invocation, 0, 'CHANGE-ID'));
      return invocation.client.call('GET', `changes/${id}`);
    },
    render: renderChange,
  },
};
