import { Corrupted, OutcomeUnknown } from '@laburnumstream/common';
import type { Token } from '@laburnumstream/common';
import type { Sha256 } from './manifest.js';

/** Digest of a completion's tokens, all of them or from one token on; sent with its end frame. */
export function tokensDigest(texts: readonly string[], sha256: Sha256): string {
  return sha256(texts.join('\n'));
}

/** Digest of a plain service's response. */
export function callResponseDigest(status: number, body: string, sha256: Sha256): string {
  return sha256(`${status}\n${body}`);
}

/** Assembles the tokens of one completion in order; drops duplicates and rejects gaps. */
export class ResponseAssembler {
  private readonly texts: string[] = [];

  constructor(private readonly sha256: Sha256) {}

  get count(): number {
    return this.texts.length;
  }

  get text(): string {
    return this.texts.join('');
  }

  get digest(): string {
    return tokensDigest(this.texts, this.sha256);
  }

  /** Appends tokens from `firstIndex` on and returns the new ones; throws `OutcomeUnknown` on a gap. */
  append(firstIndex: number, texts: readonly string[]): Token[] {
    const start = this.texts.length;
    if (firstIndex > start) throw new OutcomeUnknown(`Token ${start} is missing.`);
    // Duplicates must be identical; a difference means that two completions were mixed up.
    const known = Math.min(texts.length, start - firstIndex);
    for (let offset = 0; offset < known; offset += 1) {
      if (texts[offset] !== this.texts[firstIndex + offset]) {
        throw new Corrupted('A repeated token differs from the first one.');
      }
    }
    const fresh = texts.slice(known);
    this.texts.push(...fresh);
    return fresh.map((text, offset) => ({ index: start + offset, text }));
  }

  /** Checks the end frame, whose digest covers the tokens from `firstIndex` on; throws `Corrupted`. */
  verifyEnd(count: number, digest: string, firstIndex = 0): void {
    const covered = firstIndex === 0 ? this.texts : this.texts.slice(firstIndex);
    if (count !== this.texts.length || digest !== tokensDigest(covered, this.sha256)) {
      throw new Corrupted('The answer does not match its end mark.');
    }
  }
}
