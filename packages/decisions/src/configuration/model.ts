/** Whether a data centre is in service. */
export const DataCentreState = { in: 'in', out: 'out' } as const;

/** One of the values of {@link DataCentreState}. */
export type DataCentreState = (typeof DataCentreState)[keyof typeof DataCentreState];

/** Kinds of services. */
export const ServiceKind = { model: 'model', plain: 'plain' } as const;

/** One of the values of {@link ServiceKind}. */
export type ServiceKind = (typeof ServiceKind)[keyof typeof ServiceKind];

/** Roles of operators: viewers only read, operators may also change the configuration. */
export const OperatorRole = { viewer: 'viewer', operator: 'operator' } as const;

/** One of the values of {@link OperatorRole}. */
export type OperatorRole = (typeof OperatorRole)[keyof typeof OperatorRole];

/** Policy set by operators; exceptions override individual values. */
export interface Policy {
  /** Relative share of capacity of a workspace, dimensionless. */
  readonly weight: number;
  /** Work units that an endpoint can handle right after a cold start. */
  readonly coldLimit: number;
  /** Maximum number of work units admitted to one endpoint. */
  readonly maxLimit: number;
  /** Maximum number of requests in an agent's queue. */
  readonly maxQueue: number;
  /** Maximum time that a request waits in an agent's queue, in milliseconds. */
  readonly maxQueueMs: number;
  /** Maximum number of attempts of a retryable request. */
  readonly maxAttempts: number;
  /** Endpoints of a service in one data centre that may switch versions at once. */
  readonly switchSlots: number;
}

/** Where an exception applies; an absent field matches everything. */
export interface Scope {
  readonly dataCentre?: string;
  readonly service?: string;
  readonly workspace?: string;
  readonly instance?: string;
}

/** An override of default policy values, with the reason for it. */
export interface PolicyException {
  readonly id: string;
  readonly scope: Scope;
  readonly policy: Partial<Policy>;
  readonly reason: string;
  readonly author: string;
  /** Wall-clock time since the Unix epoch, in milliseconds. */
  readonly createdAt: number;
  readonly expiresAt?: number;
}

/** A service that callers may use. */
export interface ServiceDefinition {
  readonly kind: ServiceKind;
  /** The model that a model service serves. */
  readonly model?: string;
  /** Adapters that are loaded in addition to the model. */
  readonly adapters?: readonly string[];
  /** Path prefixes of calls that are not idempotent and so run at most once. */
  readonly nonIdempotentPaths?: readonly string[];
}

/** The version of a model or adapter that its endpoints are to serve. */
export interface Release {
  readonly version: string;
  readonly digest: string;
  /** The previous version, to which the roll-out is rolled back when the new one fails. */
  readonly previous?: { readonly version: string; readonly digest: string };
  readonly startedAt: number;
  /** The reason why the roll-out was stopped; absent if it was not. */
  readonly stopped?: string;
}

/** A customer, authenticated by tokens. */
export interface Workspace {
  /** SHA-256 of each valid token, in hex. */
  readonly tokenHashes: readonly string[];
}

/** An operator, authenticated by tokens, with its permissions. */
export interface Operator {
  readonly role: OperatorRole;
  /** SHA-256 of each valid token, in hex. */
  readonly tokenHashes: readonly string[];
  /** The only services that the operator may change; absent for no restriction. */
  readonly services?: readonly string[];
  /** The only workspaces that the operator may change; absent for no restriction. */
  readonly workspaces?: readonly string[];
}

/** The state of a data centre as set by operators. */
export interface DataCentre {
  readonly state: DataCentreState;
  readonly reason: string;
  readonly since: number;
}

/** One changed item of the document. */
export interface ItemChange {
  /**
   * The part of the document and the item's name, such as `services/assistant` or `defaults/weight`;
   * `exceptions` for their order and `*` for omitted items.
   */
  readonly path: string;
  readonly from?: unknown;
  readonly to?: unknown;
}

/** One accepted change in the audit trail. */
export interface AuditRecord {
  readonly revision: number;
  readonly changeId: string;
  readonly at: number;
  readonly author: string;
  readonly action: string;
  readonly reason: string;
  readonly outcome: 'accepted';
  readonly changes: readonly ItemChange[];
}

/** The document that operators edit: all settings that the processes must agree on. */
export interface Configuration {
  /** Incremented by each accepted change. */
  readonly revision: number;
  /** Id of the change that produced this revision. */
  readonly changeId: string;
  readonly defaults: Policy;
  readonly exceptions: readonly PolicyException[];
  readonly dataCentres: Readonly<Record<string, DataCentre>>;
  readonly services: Readonly<Record<string, ServiceDefinition>>;
  readonly releases: Readonly<Record<string, Release>>;
  readonly workspaces: Readonly<Record<string, Workspace>>;
  readonly operators: Readonly<Record<string, Operator>>;
  /** The latest records of the audit trail; older ones are stored as pages under separate keys. */
  readonly audit: readonly AuditRecord[];
  /** Key of the latest page; empty when there is none. */
  readonly auditPage: string;
}

/** Key of the document in the platform's key-value service. */
export const configurationKey = 'laburnumstream/configuration';

/** The policy that applies where no operator has set one. */
export const policyDefaults: Policy = {
  weight: 1,
  coldLimit: 2,
  maxLimit: 64,
  maxQueue: 64,
  maxQueueMs: 1_000,
  maxAttempts: 3,
  switchSlots: 1,
};

/** The document before the first change. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  changeId: '',
  defaults: policyDefaults,
  exceptions: [],
  dataCentres: {},
  services: {},
  releases: {},
  workspaces: {},
  operators: {},
  audit: [],
  auditPage: '',
};
