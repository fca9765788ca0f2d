import type { PieceManifest } from './localEngine.js';

const bitsPerByte = 8;

/** The verified pieces of one version that are held in memory. */
export class HeldVersion {
  readonly pieces: (Uint8Array | undefined)[];

  private count = 0;

  constructor(readonly manifest: PieceManifest) {
    this.pieces = new Array<Uint8Array | undefined>(manifest.digests.length).fill(undefined);
  }

  get version(): number {
    return this.manifest.version;
  }

  get isComplete(): boolean {
    return this.count === this.pieces.length;
  }

  put(piece: number, bytes: Uint8Array): void {
    if (!this.pieces[piece]) this.count += 1;
    this.pieces[piece] = bytes;
  }

  /** One bit for each piece, the lowest bit of the first byte first. */
  bitmap(): Uint8Array {
    const bits = new Uint8Array(Math.ceil(this.pieces.length / bitsPerByte));
    this.pieces.forEach((bytes, piece) => {
      if (bytes) bits[Math.floor(piece / bitsPerByte)]! += 2 ** (piece % bitsPerByte);
    });
    return bits;
  }
}

/** One byte for each piece, 1 for those that a bitmap marks. */
export function flagsOf(bitmap: Uint8Array, pieces: number): Uint8Array {
  return Uint8Array.from({ length: pieces }, (_, piece) => {
    const byte = bitmap[Math.floor(piece / bitsPerByte)] ?? 0;
    return Math.floor(byte / 2 ** (piece % bitsPerByte)) % 2;
  });
}
