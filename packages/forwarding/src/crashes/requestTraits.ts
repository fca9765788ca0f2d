import { toPartTrait } from '@laburnumstream/decisions';
import { sha256 } from '@laburnumstream/runtime';
import type { Exchange } from '../callers/exchange.js';

const digestPrefix = 'request:';
/** Digits of the digest that tell requests apart. */
const digestDigits = 16;

/** Traits of a request: the parts of its prompt that others may share, and itself if it comes again. */
export function getTraits(exchange: Exchange): ReadonlySet<string> {
  return new Set([...getPartTraits(exchange), getDigest(exchange)]);
}

/** The trait that a request shares only with its repetitions. */
export function getDigest({ request, workspace, body }: Exchange): string {
  const content = [request.method, request.url, workspace?.name ?? '', body.toString('latin1')];
  return `${digestPrefix}${sha256(content.join('\n')).slice(0, digestDigits)}`;
}

/** Whether a trait is the digest of a whole request. */
export function isDigest(trait: string): boolean {
  return trait.startsWith(digestPrefix);
}

/** Traits of a request that requests with other content may share. */
export function getPartTraits({ head }: Pick<Exchange, 'head'>): string[] {
  return head.sharedParts.map(toPartTrait);
}
