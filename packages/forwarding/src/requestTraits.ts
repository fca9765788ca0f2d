import { toPartTrait } from '@laburnumstream/decisions';
import { sha256 } from '@laburnumstream/runtime';
import type { Exchange } from './exchange.js';

const digestPrefix = 'request:';
/** Digits of the digest that tell requests apart. */
const digestDigits = 16;

/** Traits of a request: the parts of its prompt that others may share, and itself if it comes again. */
export function getTraits(exchange: Exchange): ReadonlySet<string> {
  const { request, workspace, body } = exchange;
  const content = [request.method, request.url, workspace?.name ?? '', body.toString('latin1')];
  const digest = sha256(content.join('\n')).slice(0, digestDigits);
  return new Set([...getPartTraits(exchange), `${digestPrefix}${digest}`]);
}

/** Whether a trait is the digest of a whole request. */
export function isDigest(trait: string): boolean {
  return trait.startsWith(digestPrefix);
}

/** Traits of a request that requests with other content may share. */
export function getPartTraits({ head }: Pick<Exchange, 'head'>): string[] {
  return head.sharedParts.map(toPartTrait);
}
