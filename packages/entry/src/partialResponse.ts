import { Corrupted, InvalidStatus, isFinalStatus } from '@laburnumstream/common';
import type { PlainResponse } from '@laburnumstream/common';
import { ResponseAssembler, callResponseDigest } from '@laburnumstream/decisions';
import type { End } from '@laburnumstream/protocol';
import { sha256 } from '@laburnumstream/runtime';
import type { ResponsePart } from './callerRequest.js';

/** The part of a response received so far, across all attempts. */
export class PartialResponse {
  readonly assembly = new ResponseAssembler(sha256);

  private weightsDigest = '';

  private callResponse: PlainResponse | undefined;

  /** Digest of the weights that generated the tokens so far; empty before the first token. */
  get weights(): string {
    return this.weightsDigest;
  }

  /** Records which weights generate the response. */
  setWeights(weights: string): void {
    this.weightsDigest = weights;
  }

  /**
   * Stores the response of a plain service until the end frame confirms it. Throws `InvalidStatus` for a status that a
   * caller can't be sent: agents pass on what they have read from an endpoint, or what is stored of an earlier run.
   */
  setCallResponse(callResponse: PlainResponse): void {
    if (!isFinalStatus(callResponse.status)) throw new InvalidStatus(callResponse.status);
    this.callResponse = callResponse;
  }

  /** Verifies the digest of the end frame; throws `Corrupted` for an incomplete or altered response. */
  finish({ count, digest, firstIndex }: End): ResponsePart {
    const { callResponse, assembly } = this;
    if (!callResponse) {
      assembly.verifyEnd(count, digest, firstIndex);
      return { kind: 'end', count, digest: assembly.digest };
    }
    if (digest !== callResponseDigest(callResponse.status, callResponse.body, sha256)) {
      throw new Corrupted('The answer does not match its end mark.');
    }
    return { kind: 'end', count, digest };
  }
}
