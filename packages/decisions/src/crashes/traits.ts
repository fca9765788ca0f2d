const partPrefix = 'part:';

/** The trait of requests that share a part of their prompts. */
export function toPartTrait(part: string): string {
  return `${partPrefix}${part}`;
}

/** Whether requests that differ otherwise may have a trait; the others name whole requests. */
export function isSharedPart(trait: string): boolean {
  return trait.startsWith(partPrefix);
}
