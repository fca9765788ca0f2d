/** The outcome of one completion. */
export interface CompletionRecord {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly tokens: readonly string[];
  readonly ended: boolean;
  /** Status of a refusal, 200 for a stream, 0 for a broken connection. */
  readonly status: number;
  readonly execution: string;
  readonly at: number;
}

/** One attempt of an order with an idempotency key. */
export interface OrderRecord {
  readonly key: string;
  readonly body: string;
  readonly status: number;
  readonly execution: string;
  readonly response: string;
}

/** The configuration revision that a process had in force. */
export interface RevisionRecord {
  readonly process: string;
  /** Process id; distinguishes the runs of a restarted process. */
  readonly start: number;
  readonly revision: number;
}

/** A period in which a data centre was taken out, in wall-clock milliseconds. */
export interface TakeOutPeriod {
  readonly dataCentre: string;
  readonly from: number;
  readonly until: number;
}

/** All records of a run with faults. */
export class FaultHistory {
  readonly completions: CompletionRecord[] = [];

  readonly orders: OrderRecord[] = [];

  readonly revisions: RevisionRecord[] = [];

  readonly takeOutPeriods: TakeOutPeriod[] = [];

  /** Highest revision that the administration API reported as accepted. */
  acceptedRevision = 0;

  readonly faults: string[] = [];
}
