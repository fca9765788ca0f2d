/** Settings of a process on a platform with a store, as read by the platform's adapter. */

/** Time limits and rate limits required by the platform's operators. */
export interface FleetBounds {
  /** Deadline for a shutdown, in milliseconds. */
  readonly shutdownMs: number;
  /** Deadline after which a draining endpoint receives no new requests, in milliseconds. */
  readonly drainMs: number;
  /** Deadline for applying a new configuration, in milliseconds. */
  readonly configurationMs: number;
  /** Deadline after which a revoked key is rejected, in milliseconds. */
  readonly revocationMs: number;
  /** Whether requests with keys are rejected while it is unknown whether keys have been revoked. */
  readonly failsClosed: boolean;
  /** Deadline after which an evacuated data centre receives no new requests, in milliseconds. */
  readonly evacuationMs: number;
  /** Deadline after which no request starts on an older version than the named one, in milliseconds. */
  readonly versionMs: number;
  /** Time after which the address of a removed endpoint may be reused by another, in milliseconds. */
  readonly addressReuseMs: number;
  /** Retries allowed per request in the retry budget. */
  readonly retryRatio: number;
  /** Retries allowed in each window in addition, for all entries together. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Tolerated request rate of a cold endpoint, as a multiple of its declared rate. */
  readonly coldFactor: number;
  /** Additional tolerated requests per second of a cold endpoint. */
  readonly coldSlack: number;
  /** Maximum delay in relaying a stream event to the caller, in milliseconds. */
  readonly maxEventDelayMs: number;
}

/** Address and limits of the platform's store. */
export interface StoreSettings {
  /** IP:PORT */
  readonly address: string;
  readonly minLeaseMs: number;
}

/** Settings common to all processes on the platform. */
export interface FleetSettings {
  readonly instance: string;
  /** IP */
  readonly host: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: ReadonlyMap<string, string>;
  /** First port for calls between the system's own processes. */
  readonly firstPort: number;
  /** Bandwidth of the instance's network link, in bits per second. */
  readonly linkBitsPerSecond: number;
  readonly store: StoreSettings;
  /** Interval between heartbeats of an endpoint, in milliseconds. */
  readonly heartbeatMs: number;
  readonly bounds: FleetBounds;
}

/** Settings of an entry on the platform. */
export interface ForwarderSettings extends FleetSettings {
  /** IP:PORT on which callers are served. */
  readonly callerAddress: string;
  /** IP:PORT on which the load balancer checks readiness. */
  readonly readinessAddress: string;
  /** Memory that the process may use, in bytes; may be infinite. */
  readonly memoryBytes: number;
  /** File descriptors that the process may have open; may be infinite or absent, which means the same. */
  readonly maxDescriptors?: number;
  /** Whether no process with this instance name has run before. */
  readonly isFirstStart: boolean;
}

/** Settings of an agent on the platform, which runs beside an endpoint. */
export interface SidecarSettings extends FleetSettings {
  /** IP:PORT of the endpoint. */
  readonly endpointAddress: string;
  readonly service: string;
}
