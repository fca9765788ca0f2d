import type { PieceManifest } from './localEngine.js';

const bitsPerByte = 8;

/** Verified pieces of one version, held in memory. */
export class HeldVersion {
  /** Content by piece number; undefined for missing pieces. */
  readonly pieces: (Uint8Array | undefined)[];

  private heldCount = 0;

  constructor(readonly manifest: PieceManifest) {
    this.pieces = new Array<Uint8Array | undefined>(manifest.digests.length).fill(undefined);
  }

  get version(): number {
    return this.manifest.version;
  }

  get isComplete(): boolean {
    return this.heldCount === this.pieces.length;
  }

  add(piece: number, bytes: Uint8Array): void {
    if (!this.pieces[piece]) this.heldCount += 1;
    this.pieces[piece] = bytes;
  }

  /** Bitmap of the held pieces, starting with the least significant bit of the first byte. */
  bitmap(): Uint8Array {
    const bits = new Uint8Array(Math.ceil(this.pieces.length / bitsPerByte));
    this.pieces.forEach((bytes, piece) => {
      if (bytes) bits[Math.floor(piece / bitsPerByte)]! += 2 ** (piece % bitsPerByte);
    });
    return bits;
  }
}

/** Expands a bitmap of pieces to one byte for each piece, 0 or 1. */
export function bitmapToFlags(bitmap: Uint8Array, pieces: number): Uint8Array {
  return Uint8Array.from({ length: pieces }, (_, piece) => {
    const byte = bitmap[Math.floor(piece / bitsPerByte)] ?? 0;
    return Math.floor(byte / 2 ** (piece % bitsPerByte)) % 2;
  });
}
