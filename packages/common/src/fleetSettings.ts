/** Settings of a process that runs on a platform with a store, as its adapter reads them. */

/** Time bounds and shares that the platform's operators have agreed on. */
export interface FleetBounds {
  /** Time in which a stop has to be finished, in milliseconds. */
  readonly shutdownMs: number;
  /** Time after which an endpoint that leaves gets no new request, in milliseconds. */
  readonly drainMs: number;
  /** Time after which a new configuration is in force, in milliseconds. */
  readonly configurationMs: number;
  /** Time after which a removed key is refused, in milliseconds. */
  readonly revocationMs: number;
  /** Whether requests with keys are refused while it is unknown if keys were removed. */
  readonly failsClosed: boolean;
  /** Time after which an evacuated data centre gets no new request, in milliseconds. */
  readonly evacuationMs: number;
  /** Time after which no request begins on a version older than the named one, in milliseconds. */
  readonly versionMs: number;
  /** Time after which the address of an endpoint that is gone may belong to another. */
  readonly addressReuseMs: number;
  /** Repeated sends that each request earns. */
  readonly retryRatio: number;
  /** Repeated sends in each window besides, of all entries together. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Factor on a cold endpoint's declared rate that is still within its bound. */
  readonly coldFactor: number;
  /** Requests a second above that which are still within the bound. */
  readonly coldSlack: number;
  /** Delay of a stream's event on its way to the caller that is still in time, in milliseconds. */
  readonly maxEventDelayMs: number;
}

/** The store of the platform and its limits. */
export interface StoreSettings {
  /** IP:PORT */
  readonly address: string;
  readonly minLeaseMs: number;
}

/** What each process on the platform is told at its start. */
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
  /** Rate of the instance's own link, in bits a second. */
  readonly linkBitsPerSecond: number;
  readonly store: StoreSettings;
  /** Time between two heartbeats of an endpoint, in milliseconds. */
  readonly heartbeatMs: number;
  readonly bounds: FleetBounds;
}

/** Settings of a process that serves callers. */
export interface ForwarderSettings extends FleetSettings {
  /** IP:PORT where callers connect. */
  readonly callerAddress: string;
  /** IP:PORT where the balancer asks whether the process is ready. */
  readonly readinessAddress: string;
  /** Whether no process has run under this name before. */
  readonly isFirstStart: boolean;
}

/** Settings of a process beside an endpoint. */
export interface SidecarSettings extends FleetSettings {
  /** IP:PORT of the endpoint beside it. */
  readonly endpointAddress: string;
  readonly service: string;
}
