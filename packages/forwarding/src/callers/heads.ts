/** The decoded head of a caller's request. */
export interface RequestHead {
  /** Request id; a retry by the caller has a different one. */
  readonly id: string;
  /** Time until the caller gives up, in milliseconds. */
  readonly timeLeftMs: number | undefined;
  /** API key of the caller's workspace. */
  readonly key: string | undefined;
  /** Id of the last event that the caller has received of the stream to resume. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  /** The caller's estimate, often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly sharedParts: readonly string[];
}

/** Load that an endpoint reports with a response. */
export interface ResponseLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its instance now, as a factor on the usual time; absent if not stated. */
  readonly pace?: number;
  /** Whether it states a pace that is not a valid one. */
  readonly isPaceUnreadable?: boolean;
}

/** Kinds of what an endpoint says of itself. */
export const StatementKind = {
  /** It leaves and wants no more requests. */
  leaving: 'leaving',
  /** It wants no requests for some time. */
  pause: 'pause',
} as const;

/** One of the values of {@link StatementKind}. */
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];

/** What an endpoint says of itself with a response. */
export interface EndpointStatement {
  readonly isLeaving: boolean;
  /** Time for which it wants no requests if the response refuses one, in milliseconds. */
  readonly pauseMs: number | undefined;
  /** Statements of which a value is none of those that are defined; readable values still count. */
  readonly unreadable: readonly StatementKind[];
}

/** The decoded head of an endpoint's response. */
export interface ResponseHead {
  /** Id of the request that the response is for; a different one means that responses were mixed up. */
  readonly requestId: string | undefined;
  /** Whether the endpoint has signed the response. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it has not executed the request. */
  readonly wasNotRun: boolean;
  /** Whether the body has a content encoding; endpoints never send one, so an intermediary changed it. */
  readonly isEncoded: boolean;
  readonly endpointId: string | undefined;
  readonly weightsVersion: number | undefined;
  readonly coldLeftMs: number | undefined;
  readonly load: ResponseLoad | undefined;
  /** Requests per second that the endpoint takes from all entries together; undefined if it names none. */
  readonly maxRequestsPerSecond: number | undefined;
  readonly statement: EndpointStatement;
}

/** Values of the headers that are added to a caller's request when it is forwarded to an endpoint. */
export interface RequestMetadata {
  /** Time until the deadline, in milliseconds. */
  readonly timeLeftMs: number;
  readonly endpointId: string;
  /** Whether the caller's API key is removed before forwarding. */
  readonly stripsKey: boolean;
  readonly workspace: string | undefined;
  readonly lastEventId: number | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number | undefined;
  /** The only version of the weights on which the request may start. */
  readonly weightsVersion: number | undefined;
}
