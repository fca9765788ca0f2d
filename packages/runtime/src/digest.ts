import { createHash, timingSafeEqual } from 'node:crypto';

/** SHA-256 of bytes or text, in hex. */
export function sha256(content: Uint8Array | string): string {
  return createHash('sha256').update(content).digest('hex');
}

/** Compares two secrets in constant time. */
export function isSameSecret(a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(sha256(a)), Buffer.from(sha256(b)));
}
