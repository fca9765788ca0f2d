/**
 * What operators and endpoints have registered with the platform, in the terms of this project.
 * Adapters decode their wire forms into these types once.
 */

/** How a request may be repeated. */
export const RouteKind = {
  /** May run more than once. */
  idempotent: 'idempotent',
  /** May run once at most. */
  nonIdempotent: 'nonIdempotent',
  /** A stream of events: may run once at most, unless its route says that it can be resumed. */
  stream: 'stream',
} as const;

/** One of the values of {@link RouteKind}. */
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service among which a route's requests are divided. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the other targets' weights. */
  readonly weight: number;
}

/** Where requests go whose host and path match. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time until the answer, or a stream's first event, within which it is of full use. */
  readonly latencyTargetMs: number;
  /** Longest pause between events within which a stream is of full use, in milliseconds. */
  readonly eventGapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Endpoints to which one request may be sent at most. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another endpoint after the last event that was received. */
  readonly isResumable: boolean;
  /** Regions in which requests may be served; empty for all. */
  readonly homeRegions: readonly string[];
}

/** Timing of a model engine, as its service declares it. */
export interface EngineProfile {
  readonly slots: number;
  /** Tokens that fit into the memory for requests. */
  readonly memoryTokens: number;
  /** Steps that one pass runs, which is also the tokens of one event. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Time that each writing request adds to a step, in milliseconds. */
  readonly stepMsPerSequence: number;
  /** Time that 1,000 tokens of context add to a step, in milliseconds. */
  readonly stepMsPerThousandTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Time for a million pairs of a read token and an earlier one, in milliseconds. */
  readonly prefillMsPerMillionPairs: number;
  /** Tokens read in one step at most. */
  readonly prefillChunkTokens: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly layers: number;
  /** Pieces of one version of the weights. */
  readonly chunks: number;
  readonly chunkBytes: number;
  /** Models that the engine can hold; the time that loading all layers takes, in milliseconds. */
  readonly models: readonly { readonly name: string; readonly loadMs: number }[];
}

/** Where the weights of all models come from. */
export interface OriginProfile {
  readonly address: string;
  readonly dataCentre: string;
  readonly linkBitsPerSecond: number;
}

/** A service as operators define it. */
export interface ServiceProfile {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Requests a second that a cold endpoint bears from all callers together; 0 when it is never cold. */
  readonly coldRequestsPerSecond: number;
  readonly engine: EngineProfile | undefined;
  readonly origin: OriginProfile | undefined;
}

/** What callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer with its own keys. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's priority. */
  readonly priority: number | undefined;
  /** Regions in which its requests may be served; empty for all. */
  readonly homeRegions: readonly string[];
}

/** One version of the operators' configuration. */
export interface FleetConfiguration {
  /** Grows with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  readonly workspaces: readonly Workspace[];
  /** Whether callers need a key on routes that are not public. */
  readonly requiresKeys: boolean;
}

/** Layers of a model that an engine holds, `to` exclusive. */
export interface LoadedLayers {
  readonly from: number;
  readonly to: number;
  readonly version: number;
}

/** What an endpoint registers of itself. */
export interface Endpoint {
  readonly id: string;
  /** Wall-clock time of its start, in milliseconds; another value means that it has restarted. */
  readonly bornAt: number;
  readonly service: string;
  /** IP:PORT */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at once; 0 when it does not say. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which it bears only little load, from the moment it said so, in milliseconds. */
  readonly coldLeftMs: number;
  /** Layers of the model that it holds; undefined for plain services and for empty engines. */
  readonly layers: LoadedLayers | undefined;
}

/** Where an entry runs, as it registers itself. */
export interface EntryLocation {
  readonly dataCentre: string;
  /** IP */
  readonly host: string;
}

/** Version of weights that operators want everywhere. */
export interface NamedVersion {
  readonly model: string;
  readonly version: number;
}
