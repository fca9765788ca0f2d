import type { PieceManifest, PieceOrigin } from '@laburnumstream/sidecar';
import { getPieceContent, sha256Hex, testVersion } from './stagingEngine.js';

/** Origin that can return corrupt pieces. */
export class FaultyPieceOrigin implements PieceOrigin {
  /** Each read whose number is a multiple of this returns corrupt bytes. */
  corruptEvery = Infinity;

  /** Number of manifests that were read. */
  manifestReads = 0;

  /** Number of pieces that were read. */
  reads = 0;

  getManifest(_address: string, name: string, version: number): Promise<PieceManifest> {
    this.manifestReads += 1;
    const digests = Array.from({ length: testVersion.pieces }, (_, piece) =>
      sha256Hex(getPieceContent(version, piece)),
    );
    return Promise.resolve({ model: name, version, digests });
  }

  getPiece(_address: string, _model: string, version: number, piece: number): Promise<Uint8Array> {
    this.reads += 1;
    const isCorrupt = this.reads % this.corruptEvery === 0;
    return Promise.resolve(isCorrupt ? Buffer.from('wrong') : getPieceContent(version, piece));
  }
}
