/** What the caller of a request has been given, which decides how long it may wait for an endpoint. */
export const RequestStage = {
  /** Nothing: it can be refused at once, and its caller may come back. */
  fresh: 'fresh',
  /** A refusal: the caller has come back, and its latency goal has passed. */
  callerRetry: 'callerRetry',
  /** A part of the response: it can't be refused any more, and is owed the rest until its deadline. */
  begun: 'begun',
  /** A part of the response, and the rest is under way: another endpoint is only to take it over. */
  moving: 'moving',
} as const;

/** One of the values of {@link RequestStage}. */
export type RequestStage = (typeof RequestStage)[keyof typeof RequestStage];
