import { InvalidInput, WeightKind } from '@laburnumstream/common';
import type { Manifest } from '@laburnumstream/common';

/** SHA-256 of bytes or text, in hex. */
export type Sha256 = (content: Uint8Array | string) => string;

const sha256Pattern = /^[0-9a-f]{64}$/;

/** The digest that identifies a version: the hash of the manifest's fields in fixed order. */
export function manifestDigest(manifest: Manifest, sha256: Sha256): string {
  const { kind, model, version, size, chunkBytes, chunks, content } = manifest;
  return sha256(JSON.stringify([kind, model, version, size, chunkBytes, chunks, content]));
}

function isDigest(value: unknown): boolean {
  return typeof value === 'string' && sha256Pattern.test(value);
}

function isName(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}

/** Checks the form of a manifest from outside; throws `InvalidInput`. */
export function validateManifest(value: unknown): Manifest {
  if (typeof value !== 'object' || value === null) {
    throw new InvalidInput('The manifest is not an object.');
  }
  const manifest = value as Manifest;
  const { kind, model, version, size, chunkBytes, chunks, content } = manifest;
  const named = Object.values(WeightKind).includes(kind) && isName(model) && isName(version);
  if (!named) throw new InvalidInput('The manifest has no valid kind, model and version.');
  const sane =
    Number.isSafeInteger(size) && size > 0 && Number.isSafeInteger(chunkBytes) && chunkBytes > 0;
  if (!sane) throw new InvalidInput('The manifest has no valid sizes.');
  const hashes = Array.isArray(chunks) && [...chunks, content].every(isDigest);
  if (!hashes) throw new InvalidInput('The manifest has no valid SHA-256 digests.');
  if (chunks.length !== Math.ceil(size / chunkBytes)) {
    throw new InvalidInput(`The manifest lists ${chunks.length} chunks for ${size} bytes.`);
  }
  return manifest;
}
