/** Tokens per work unit. */
export const tokensPerUnit = 512;

const charactersPerToken = 4;

/** Estimates the number of tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/** Converts a number of tokens to work units; at least one. */
export function tokensToUnits(tokens: number): number {
  return Math.max(1, Math.ceil(tokens / tokensPerUnit));
}

/** Work units of a generation: its prompt and the maximum number of generated tokens. */
export function generationUnits(prompt: string, maxTokens: number): number {
  return tokensToUnits(estimateTokens(prompt) + maxTokens);
}

/** Work units of a call to a plain service. */
export const callUnits = 1;
