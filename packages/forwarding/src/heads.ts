/** The head of a caller's request, decoded. */
export interface RequestHead {
  /** Id of this attempt of the caller; a later one has another. */
  readonly id: string;
  /** Time for which the caller waits, in milliseconds. */
  readonly timeLeftMs: number | undefined;
  /** Key of the caller's workspace. */
  readonly key: string | undefined;
  /** The last event that the caller has received of the stream that it wants to go on. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  /** The caller's estimate, often far off. */
  readonly expectedOutputTokens: number | undefined;
}

/** Load that an endpoint tells with an answer. */
export interface ResponseLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of an endpoint's answer, decoded. */
export interface ResponseHead {
  /** Id of the request that is answered; another one means that answers have crossed. */
  readonly requestId: string | undefined;
  /** Whether the endpoint vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Whether the body is encoded, so that it is not the endpoint's. */
  readonly isEncoded: boolean;
  readonly endpointId: string | undefined;
  readonly weightsVersion: number | undefined;
  readonly coldLeftMs: number | undefined;
  readonly load: ResponseLoad | undefined;
}

/** What a request is sent to an endpoint with, besides the caller's own headers. */
export interface RequestMetadata {
  /** Time left for the answer, in milliseconds. */
  readonly timeLeftMs: number;
  readonly endpointId: string;
  /** Whether the caller's key is kept from the endpoint. */
  readonly stripsKey: boolean;
  readonly workspace: string | undefined;
  readonly lastEventId: number | undefined;
  /** From 0, the most urgent, to 9. */
  readonly priority: number | undefined;
  /** The only version of the weights on which the request may begin. */
  readonly weightsVersion: number | undefined;
}
