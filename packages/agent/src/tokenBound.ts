import { ResponseTooLarge } from '@laburnumstream/common';

/** Maximum length of the tokens of one run, in UTF-16 code units: 64 for each of the most that a caller may ask for. */
const maxTextLength = 4_194_304;

/** Bounds the tokens of one run, all of which are kept until it has ended. */
export class TokenBound {
  private count = 0;

  private textLength = 0;

  constructor(private readonly maxTokens: number) {}

  /** Counts a token. Throws `ResponseTooLarge` for one too many. */
  add(text: string): void {
    this.count += 1;
    this.textLength += text.length;
    if (this.count > this.maxTokens)
      throw new ResponseTooLarge(`it has more than ${this.maxTokens} tokens`);
    if (this.textLength > maxTextLength)
      throw new ResponseTooLarge(`its tokens have more than ${maxTextLength} characters`);
  }
}
