/**
 * Interfaces between the decision logic, the platform and the processes. Implementations are
 * injected through constructors.
 */

/** Monotonic and wall-clock time in milliseconds. */
export interface Clock {
  /** Monotonic time. */
  now(): number;
  /** Wall-clock time since the Unix epoch; may jump. */
  wall(): number;
  /** Resolves after `ms`, or rejects with `Aborted` when `signal` fires first. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Source of uniformly distributed numbers in [0, 1). */
export interface Random {
  next(): number;
}

/** Structured logger of one component of a process. */
export interface Log {
  debug(message: string, fields?: Readonly<Record<string, unknown>>): void;
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Labels of a metric's value, such as its route or service. */
export type Labels = Readonly<Record<string, string>>;

/** Name, labels and current value of a gauge. */
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
  /** Registers gauges whose values are read whenever the metrics are collected. */
  registerGauges(read: () => readonly Gauge[]): void;
}

/** A stored value and the revision of its last write; revisions increase across the whole store. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** Precondition and lease of a write, both optional. */
export interface WriteCondition {
  /** Expected current revision; 0 means that the key must not exist. */
  readonly ifRevision?: number;
  /** Lease on whose expiry the key is deleted. */
  readonly lease?: string;
}

/** The platform's key-value service. All calls throw `StoreUnavailable` during an outage. */
export interface KeyValueStore {
  get(key: string, signal?: AbortSignal): Promise<StoredValue | undefined>;
  list(prefix: string, signal?: AbortSignal): Promise<readonly StoredValue[]>;
  /** Writes a value and returns its revision; throws `Conflict` if the precondition fails. */
  put(key: string, value: string, condition: WriteCondition, signal?: AbortSignal): Promise<number>;
  remove(key: string, ifRevision?: number, signal?: AbortSignal): Promise<void>;
  /** Waits up to `waitMs` for a revision above `after`; returns undefined if nothing changed. */
  watch(
    key: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoredValue | undefined>;
  /** Creates a lease of `ttlMs` and returns its id. */
  grantLease(ttlMs: number, signal?: AbortSignal): Promise<string>;
  /** Renews a lease; throws `NotFound` if it has expired. */
  renewLease(lease: string, signal?: AbortSignal): Promise<void>;
  revokeLease(lease: string, signal?: AbortSignal): Promise<void>;
}

/** Kinds of published weights. */
export const WeightKind = { model: 'model', adapter: 'adapter' } as const;

/** A value of {@link WeightKind}. */
export type WeightKind = (typeof WeightKind)[keyof typeof WeightKind];

/** Describes one version of weights; the manifest's digest identifies the version. */
export interface Manifest {
  readonly kind: WeightKind;
  readonly model: string;
  readonly version: string;
  /** Total size in bytes. */
  readonly size: number;
  /** Size of every chunk except the last, in bytes. */
  readonly chunkBytes: number;
  /** SHA-256 of each chunk, in hex. */
  readonly chunks: readonly string[];
  /** SHA-256 of the whole content, in hex. */
  readonly content: string;
}

/** The origin from which published weights are downloaded. */
export interface WeightOrigin {
  manifest(model: string, version: string, signal?: AbortSignal): Promise<Manifest>;
  chunk(model: string, version: string, index: number, signal?: AbortSignal): Promise<Uint8Array>;
}

/** Program that an instance runs. */
export const InstanceRole = { entry: 'entry', agent: 'agent' } as const;

/** A value of {@link InstanceRole}. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** State of an instance in the platform's list. */
export const InstanceState = { live: 'live', leaving: 'leaving' } as const;

/** A value of {@link InstanceState}. */
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** An item of the platform's instance list, which may be out of date. */
export interface Instance {
  readonly name: string;
  readonly role: InstanceRole;
  readonly region: string;
  readonly dataCentre: string;
  /** Base URL for calls between the system's processes. */
  readonly address: string;
  /** Base URL at which an agent serves weight chunks. */
  readonly weightsAddress?: string;
  /** Service of the agent's endpoint. */
  readonly service?: string;
  readonly state: InstanceState;
}

/** The platform's list of live and leaving instances, which may be out of date. */
export interface InstanceList {
  list(signal?: AbortSignal): Promise<readonly Instance[]>;
}

/** Generation request to a model engine. */
export interface Generation {
  readonly id: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Higher values run first. */
  readonly priority: number;
  /** Number of tokens already received when a stream is resumed. */
  readonly resumeFrom: number;
  /** Adapter to apply, if any. */
  readonly adapter?: string;
}

/** A generated token and its position. */
export interface Token {
  readonly index: number;
  readonly text: string;
}

/** An endpoint's load report, which may be out of date. */
export interface LoadReport {
  /** Identifies the endpoint's process; changes with each restart. */
  readonly boot: string;
  readonly running: number;
  readonly queued: number;
  /** Work units that the endpoint can currently handle. */
  readonly capacity: number;
  /** Digest of the loaded weights; empty if none are loaded. */
  readonly weights: string;
  /** Digests of the loaded adapters. */
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Kinds of orders to a model engine. */
export const OrderKind = { load: 'load', unload: 'unload', role: 'role' } as const;

/** A value of {@link OrderKind}. */
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

/** Order to a model engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  /** Fencing number; engines that check it refuse an order with a lower number than one already seen. */
  readonly fencing: number;
  readonly manifest?: Manifest;
  /** Digest of the manifest. */
  readonly digest?: string;
  /** URL from which the engine downloads the complete, verified weights. */
  readonly source?: string;
  readonly role?: string;
}

/** Client of a model engine. */
export interface ModelEngine {
  /** Streams tokens; throws `OutcomeUnknown` if the stream is interrupted. */
  generate(generation: Generation, signal: AbortSignal): AsyncIterable<Token>;
  cancel(id: string, signal?: AbortSignal): Promise<void>;
  getLoadReport(signal?: AbortSignal): Promise<LoadReport>;
  /** Sends an order; throws `StaleOrder` if the engine refuses the fencing number. */
  order(order: EngineOrder, signal?: AbortSignal): Promise<void>;
}

/** Request to a plain service. */
export interface PlainCall {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly body: string;
}

/** Client of a plain service, which is any endpoint that is not a model engine. */
export interface PlainService {
  /** Sends a request; throws `Unavailable` if no connection was established, else `OutcomeUnknown`. */
  call(call: PlainCall, signal: AbortSignal): Promise<PlainResponse>;
  getLoadReport(signal?: AbortSignal): Promise<LoadReport>;
}

/** An outage of the store that has ended. */
export interface StoreOutage {
  readonly durationMs: number;
  readonly endedMsAgo: number;
}

/** What is known of content of the store that this process, or another one, has read. */
export interface Provenance {
  /**
   * Time before the call at which the store confirmed the content as the newest, in milliseconds; 0 if the store itself
   * has responded.
   */
  readonly proofAgeMs: number;
  /**
   * Time before the call at which the oldest change may have been made that the caller has not seen, in
   * milliseconds; negative after the call. Of several changes of a key the content has the last one only.
   */
  readonly changeAgeMs: number;
  /** Part of that age for which it is a guess that no change had been made before, in milliseconds; 0 if it is proven. */
  readonly unseenMs: number;
  /** The last outage that another process which passes the content on has seen. */
  readonly outage: StoreOutage | undefined;
}

/**
 * A revision of the store, and the epoch in which it was given out. A store that is restored from an older copy begins
 * a new epoch, in which it gives revisions out again.
 */
export interface StorePosition {
  readonly revision: number;
  /** Increases with each restoration; undefined where the store does not tell. */
  readonly epoch?: number | undefined;
}

/** All values under a prefix as of a position of the store. */
export interface StoreSnapshot extends StorePosition {
  readonly values: readonly StoredValue[];
}

/** A snapshot of which it is known how old it is. */
export interface DatedSnapshot extends StoreSnapshot {
  readonly provenance: Provenance;
}

/** A write, or a deletion if `value` is undefined. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
  /** Time that it was made after the oldest change of the response, in milliseconds; 0 by default. */
  readonly laterMs?: number;
}

/** Changes in order of their revisions, and the position after which to continue watching. */
export interface StoreChanges extends StorePosition {
  readonly changes: readonly StoreChange[];
}

/** Changes of which it is known how old they are. */
export interface DatedChanges extends StoreChanges {
  readonly provenance: Provenance;
}

/**
 * Snapshots and changes of a store's prefix. All calls throw `StoreUnavailable` during an outage, and call
 * `onProgress` whenever a part of the response arrives.
 */
export interface StoreFeed {
  snapshot(prefix: string, signal?: AbortSignal, onProgress?: () => void): Promise<StoreSnapshot>;
  /**
   * Waits up to `waitMs` for changes after a position; returns an empty list if there are none.
   * Throws `HistoryLost` if the store no longer has the history since that position.
   */
  changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
    onProgress?: () => void,
  ): Promise<StoreChanges>;
}

/** Snapshots and changes of a store's prefix with their ages; the calls are those of `StoreFeed`. */
export interface DatedFeed {
  snapshot(prefix: string, signal?: AbortSignal, onProgress?: () => void): Promise<DatedSnapshot>;
  changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
    onProgress?: () => void,
  ): Promise<DatedChanges>;
}
