import { InvalidInput, WeightKind } from '@laburnumstream/common';
import type { Manifest } from '@laburnumstream/common';

/** SHA-256 of bytes or text, in hex. */
export type Sha256 = (content: Uint8Array | string) => string;

const sha256Pattern = /^[0-9a-f]{64}$/;

/** The digest that identifies a version: the hash of the manifest's fields in a fixed order. */
export function manifestDigest(manifest: Manifest, sha256: Sha256): string {
  const { kind, model, version, size, chunkBytes, chunks, content } = manifest;
  return sha256(JSON.stringify([kind, model, version, size, chunkBytes, chunks, content]));
}

function isSha256(value: unknown): boolean {
  return typeof value === 'string' && sha256Pattern.test(value);
}

function isName(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}

/** Validates the structure of an untrusted manifest; throws `InvalidInput`. */
export function validateManifest(value: unknown): Manifest {
  if (typeof value !== 'object' || value === null) {
    throw new InvalidInput('The manifest is not an object.');
  }
  const manifest = value as Manifest;
  const { kind, model, version, size, chunkBytes, chunks, content } = manifest;
  const isNamed = Object.values(WeightKind).includes(kind) && isName(model) && isName(version);
  if (!isNamed) throw new InvalidInput('The manifest has no valid kind, model and version.');
  const hasSizes =
    Number.isSafeInteger(size) && size > 0 && Number.isSafeInteger(chunkBytes) && chunkBytes > 0;
  if (!hasSizes) throw new InvalidInput('The manifest has no valid sizes.');
  const hasDigests = Array.isArray(chunks) && [...chunks, content].every(isSha256);
  if (!hasDigests) throw new InvalidInput('The manifest has no valid SHA-256 digests.');
  if (chunks.length !== Math.ceil(size / chunkBytes)) {
    throw new InvalidInput(`The manifest lists ${chunks.length} chunks for ${size} bytes.`);
  }
  return manifest;
}
