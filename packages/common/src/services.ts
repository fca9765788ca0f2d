/**
 * The narrow interfaces between the decision logic, the platform and the processes. Implementations
 * are injected through constructors, so that each can be replaced in one place.
 */

/** Monotonic and wall-clock time in milliseconds. */
export interface Clock {
  /** Monotonic time; never goes back. */
  now(): number;
  /** Wall-clock time since the Unix epoch. */
  wall(): number;
  /** Resolves after `ms`, or rejects with `Aborted` when `signal` fires first. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** A source of numbers in [0, 1). */
export interface Random {
  next(): number;
}

/** A structured logger of one part of a process. */
export interface Log {
  debug(message: string, fields?: Readonly<Record<string, unknown>>): void;
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** What a value of a metric belongs to, such as a route or a service. */
export type Labels = Readonly<Record<string, string>>;

/** A value that can go up and down. */
export interface Gauge {
  readonly name: string;
  readonly value: number;
  readonly labels?: Labels;
}

/** Counters, gauges and histograms of a process. */
export interface Metrics {
  count(name: string, labels?: Labels): void;
  gauge(name: string, value: number): void;
  /** Records a duration in milliseconds. */
  observe(name: string, ms: number, labels?: Labels): void;
  /** Adds gauges that are read each time the metrics are. */
  registerGauges(read: () => readonly Gauge[]): void;
}

/** One stored value with the revision of its last write; revisions grow over the whole store. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** A condition and an optional lease for a write. */
export interface WriteCondition {
  /** The expected revision; 0 means that the key must not exist. */
  readonly ifRevision?: number;
  /** The lease whose end removes the key. */
  readonly lease?: string;
}

/** The platform's key-value service. Every call throws `StoreUnavailable` on an outage. */
export interface KeyValueStore {
  get(key: string, signal?: AbortSignal): Promise<StoredValue | undefined>;
  list(prefix: string, signal?: AbortSignal): Promise<readonly StoredValue[]>;
  /** Writes and returns the new revision; throws `Conflict` when the condition fails. */
  put(key: string, value: string, condition: WriteCondition, signal?: AbortSignal): Promise<number>;
  remove(key: string, ifRevision?: number, signal?: AbortSignal): Promise<void>;
  /** Waits up to `waitMs` for a revision above `after`; undefined when nothing changed. */
  watch(
    key: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoredValue | undefined>;
  /** Grants a lease of `ttlMs` and returns its id. */
  grantLease(ttlMs: number, signal?: AbortSignal): Promise<string>;
  /** Renews a lease; throws `NotFound` when it has ended. */
  renewLease(lease: string, signal?: AbortSignal): Promise<void>;
  revokeLease(lease: string, signal?: AbortSignal): Promise<void>;
}

/** The kinds of weights that can be published. */
export const WeightKind = { model: 'model', adapter: 'adapter' } as const;

/** One of the values of {@link WeightKind}. */
export type WeightKind = (typeof WeightKind)[keyof typeof WeightKind];

/** Describes one version of weights; its digest is the identity of the version. */
export interface Manifest {
  readonly kind: WeightKind;
  readonly model: string;
  readonly version: string;
  /** Total size in bytes. */
  readonly size: number;
  /** Size of each chunk but the last, in bytes. */
  readonly chunkBytes: number;
  /** SHA-256 of every chunk, in hex. */
  readonly chunks: readonly string[];
  /** SHA-256 of the whole content, in hex. */
  readonly content: string;
}

/** The origin of weights. */
export interface WeightOrigin {
  manifest(model: string, version: string, signal?: AbortSignal): Promise<Manifest>;
  chunk(model: string, version: string, index: number, signal?: AbortSignal): Promise<Uint8Array>;
}

/** What an instance does. */
export const InstanceRole = { entry: 'entry', agent: 'agent' } as const;

/** One of the values of {@link InstanceRole}. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** What the platform's list says of an instance. */
export const InstanceState = { live: 'live', leaving: 'leaving' } as const;

/** One of the values of {@link InstanceState}. */
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** One line of the platform's lagging list of instances. */
export interface Instance {
  readonly name: string;
  readonly role: InstanceRole;
  readonly region: string;
  readonly dataCentre: string;
  /** Base URL for calls between the system's own processes. */
  readonly address: string;
  /** Base URL from which an agent serves weight chunks. */
  readonly weightsAddress?: string;
  /** The service of the endpoint beside an agent. */
  readonly service?: string;
  readonly state: InstanceState;
}

/** The platform's lagging list of live and leaving instances. */
export interface InstanceList {
  list(signal?: AbortSignal): Promise<readonly Instance[]>;
}

/** A generation request as given to a model engine. */
export interface Generation {
  readonly id: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Higher runs first. */
  readonly priority: number;
  /** The number of tokens already received, when a stream is resumed. */
  readonly resumeFrom: number;
  /** Adapter to apply, when any. */
  readonly adapter?: string;
}

/** One token of a generation. */
export interface Token {
  readonly index: number;
  readonly text: string;
}

/** A lagging load report of an endpoint. */
export interface LoadReport {
  /** Changes whenever the endpoint restarts. */
  readonly boot: string;
  readonly running: number;
  readonly queued: number;
  /** Work units that the endpoint bears now. */
  readonly capacity: number;
  /** Digest of the loaded weights; empty when none are loaded. */
  readonly weights: string;
  /** Digests of the loaded adapters. */
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Orders that an engine accepts. */
export const OrderKind = { load: 'load', unload: 'unload', role: 'role' } as const;

/** One of the values of {@link OrderKind}. */
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

/** An order to a model engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  /** Orders with a number below one already seen are refused by engines that check. */
  readonly fencing: number;
  readonly manifest?: Manifest;
  /** Digest of the manifest. */
  readonly digest?: string;
  /** URL from which the engine reads the whole verified content. */
  readonly source?: string;
  readonly role?: string;
}

/** A model engine. */
export interface ModelEngine {
  /** Streams tokens; throws `OutcomeUnknown` when the stream breaks. */
  generate(generation: Generation, signal: AbortSignal): AsyncIterable<Token>;
  cancel(id: string, signal?: AbortSignal): Promise<void>;
  getLoadReport(signal?: AbortSignal): Promise<LoadReport>;
  /** Throws `StaleOrder` when the engine refuses the fencing number. */
  order(order: EngineOrder, signal?: AbortSignal): Promise<void>;
}

/** A call of a plain service. */
export interface PlainCall {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** The answer of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly body: string;
}

/** A plain service beside the model engines. */
export interface PlainService {
  /** Throws `Unavailable` when no connection was made, else `OutcomeUnknown`. */
  call(call: PlainCall, signal: AbortSignal): Promise<PlainResponse>;
  getLoadReport(signal?: AbortSignal): Promise<LoadReport>;
}

/** All values under a prefix, and the store's revision up to which they are complete. */
export interface StoreSnapshot {
  readonly values: readonly StoredValue[];
  readonly revision: number;
}

/** A write or, without a value, a removal. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** Changes in their order, and the revision after which to go on. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/** Follows what changes under a prefix of a store. Every call throws `StoreUnavailable` on an outage. */
export interface StoreFeed {
  snapshot(prefix: string, signal?: AbortSignal): Promise<StoreSnapshot>;
  /**
   * Waits up to `waitMs` for changes after a revision; none when nothing changed.
   * Throws `HistoryLost` when the store no longer knows that revision.
   */
  changes(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreChanges>;
}
