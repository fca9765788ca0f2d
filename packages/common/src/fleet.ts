/**
 * Platform-neutral types for the configuration and the endpoints registered with the platform.
 * Adapters decode the platform's wire formats into these types.
 */

/** Retry semantics of a route's requests. */
export const RouteKind = {
  /** Retryable even if an earlier attempt may have been executed. */
  idempotent: 'idempotent',
  /** Executed at most once. */
  nonIdempotent: 'nonIdempotent',
  /** Event stream, executed at most once unless the route is resumable. */
  stream: 'stream',
} as const;

/** A value of {@link RouteKind}. */
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other targets. */
  readonly weight: number;
}

/** Routing rule for requests with a matching host and path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time until the response is complete, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the time to the response or to a stream's first event, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Target for the time between two events of a stream, in milliseconds. */
  readonly eventGapTargetMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether callers may omit the API key. */
  readonly isPublic: boolean;
  /** Whether another endpoint can resume a stream after the last received event. */
  readonly isResumable: boolean;
  /** Regions in which requests may be served; empty for all. */
  readonly homeRegions: readonly string[];
}

/** Capacity and timing of a model engine, as declared by its service. */
export interface EngineProfile {
  readonly slots: number;
  /** Size of the key-value cache, in tokens. */
  readonly kvCacheTokens: number;
  /** Decoding steps in one pass; also the number of tokens in one event. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Time that each decoding request adds to a step, in milliseconds. */
  readonly stepMsPerSequence: number;
  /** Time that each 1,000 tokens of context add to a step, in milliseconds. */
  readonly stepMsPerThousandTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Attention time for a million pairs of a prompt token and an earlier token, in milliseconds. */
  readonly prefillMsPerMillionPairs: number;
  /** Maximum number of prompt tokens processed in one step. */
  readonly prefillChunkTokens: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly layers: number;
  /** Number of chunks in one version of the weights. */
  readonly chunks: number;
  readonly chunkBytes: number;
  /** Models that the engine can load, with the time to load all layers, in milliseconds. */
  readonly models: readonly { readonly name: string; readonly loadMs: number }[];
}

/** The origin from which the weights of all models are downloaded. */
export interface OriginProfile {
  readonly address: string;
  readonly dataCentre: string;
  readonly linkBitsPerSecond: number;
}

/** A service as configured by operators. */
export interface ServiceProfile {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections to one endpoint, from all callers together. */
  readonly maxConnections: number;
  /** Maximum request rate of a cold endpoint, for all callers together, per second; 0 if it is never cold. */
  readonly coldRequestsPerSecond: number;
  readonly engine: EngineProfile | undefined;
  readonly origin: OriginProfile | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer with its own API keys. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority: number | undefined;
  /** Regions in which the workspace's requests may be served; empty for all. */
  readonly homeRegions: readonly string[];
}

/** A version of the operators' configuration. */
export interface FleetConfiguration {
  /** Increases with each change, not necessarily by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  readonly workspaces: readonly Workspace[];
  /** Whether routes that are not public require an API key. */
  readonly requiresKeys: boolean;
}

/** Range of model layers loaded by an engine; `to` is exclusive. */
export interface LoadedLayers {
  readonly from: number;
  readonly to: number;
  readonly version: number;
}

/** An endpoint's registration. */
export interface Endpoint {
  readonly id: string;
  /** Wall-clock start time in milliseconds; a different value means that the endpoint restarted. */
  readonly startedAt: number;
  readonly service: string;
  /** IP:PORT */
  readonly address: string;
  readonly dataCentre: string;
  /** Maximum number of concurrent requests; 0 if not declared. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining cold-start time, counted from the registration, in milliseconds. */
  readonly coldRemainingMs: number;
  /** Loaded model layers; undefined for plain services and for engines without weights. */
  readonly layers: LoadedLayers | undefined;
}

/** Location of an entry, as registered by the entry. */
export interface EntryLocation {
  readonly dataCentre: string;
  /** IP */
  readonly host: string;
}

/** The version of a model's weights that operators want all endpoints to serve. */
export interface NamedVersion {
  readonly model: string;
  readonly version: number;
}
