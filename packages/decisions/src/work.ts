/** Tokens that make one work unit. */
export const tokensPerUnit = 512;

const charactersPerToken = 4;

/** Estimated tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/** Work units of a number of tokens; at least one. */
export function tokensToUnits(tokens: number): number {
  return Math.max(1, Math.ceil(tokens / tokensPerUnit));
}

/** Work units of a generation: its prompt and the most tokens that it may give. */
export function generationUnits(prompt: string, maxTokens: number): number {
  return tokensToUnits(estimateTokens(prompt) + maxTokens);
}

/** Work units of a call of a plain service. */
export const callUnits = 1;
