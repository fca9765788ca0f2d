import { Corrupted } from '@laburnumstream/common';
import type { PlainResponse } from '@laburnumstream/common';
import { AnswerAssembly, callDigest } from '@laburnumstream/decisions';
import type { End } from '@laburnumstream/protocol';
import { sha256 } from '@laburnumstream/runtime';
import type { AnswerPart } from './callerRequest.js';

/** What has come of an answer so far, over all attempts. */
export class PartialAnswer {
  readonly assembly = new AnswerAssembly(sha256);

  private weightsDigest = '';

  private call: PlainResponse | undefined;

  /** Digest of the weights that gave the tokens so far; empty before the first token. */
  get weights(): string {
    return this.weightsDigest;
  }

  /** Tokens of these weights have come. */
  begin(weights: string): void {
    this.weightsDigest = weights;
  }

  /** A plain service's answer has come. */
  take(call: PlainResponse): void {
    this.call = call;
  }

  /** Checks the end mark; throws `Corrupted` when the answer is not whole. */
  finish({ count, digest, firstIndex }: End): AnswerPart {
    const { call, assembly } = this;
    if (!call) {
      assembly.finish(count, digest, firstIndex);
      return { kind: 'end', count, digest: assembly.digest };
    }
    if (digest !== callDigest(call.status, call.body, sha256)) {
      throw new Corrupted('The answer does not match its end mark.');
    }
    return { kind: 'end', count, digest };
  }
}
