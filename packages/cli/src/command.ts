import type { OperatorClient } from './operatorClient.js';

/** Options of a change. */
export interface ChangeMode {
  readonly dryRun: boolean;
  /** Idempotency key: a change that is resent under the same id is applied only once. */
  readonly changeId: string;
  readonly ifRevision?: number;
}

/** Parsed arguments of a command. */
export interface Invocation {
  readonly positionals: readonly string[];
  readonly client: OperatorClient;
  readonly reason: string;
  readonly wait: boolean;
  readonly mode: ChangeMode;
  readonly since: string | undefined;
  readonly limit: string | undefined;
}

/** A command of the operators' tool. */
export interface Command {
  readonly usage: string;
  readonly summary: string;
  readonly run: (invocation: Invocation) => Promise<unknown>;
  /** Formats the response as text; indented JSON if absent. */
  readonly render?: (response: unknown) => string;
}
