import { callUnits, generationUnits } from '@laburnumstream/decisions';
import type { MessageInitShape } from '@laburnumstream/links';
import type { RunRequestSchema } from '@laburnumstream/protocol';

/** A caller's request after validation. */
export interface CallerRequest {
  readonly id: string;
  readonly workspace: string;
  readonly service: string;
  readonly nonIdempotent: boolean;
  readonly idempotencyKey: string;
  /** Digest of workspace, service and work; equal for requests that do the same work. */
  readonly fingerprint: string;
  readonly work: NonNullable<MessageInitShape<typeof RunRequestSchema>['work']>;
  /** Routing affinity, derived from the prompt prefix; empty for none. */
  readonly affinity: string;
}

/** The load that a request adds to an endpoint, in work units. */
export function getWorkUnits({ work }: CallerRequest): number {
  if (work.case !== 'generation') return callUnits;
  return generationUnits(work.value.prompt ?? '', work.value.maxTokens ?? 0);
}

/** A part of a response; parts come in order and the last one is `end`. */
export type ResponsePart =
  | { readonly kind: 'tokens'; readonly firstIndex: number; readonly texts: readonly string[] }
  | { readonly kind: 'answer'; readonly status: number; readonly body: string }
  | { readonly kind: 'end'; readonly count: number; readonly digest: string };

/** Whether an idempotency key protects a non-idempotent request from running twice. */
export function usesIdempotencyKey({ nonIdempotent, idempotencyKey }: CallerRequest): boolean {
  return nonIdempotent && idempotencyKey !== '';
}
