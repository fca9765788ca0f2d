import type { PieceManifest, PieceOrigin } from '@laburnumstream/sidecar';
import { contentOf, digestOf, testVersion } from './stagingEngine.js';

/** An origin that may give wrong bytes. */
export class PieceSource implements PieceOrigin {
  wrongEach = Infinity;

  private reads = 0;

  getManifest(_address: string, name: string, version: number): Promise<PieceManifest> {
    const digests = Array.from({ length: testVersion.pieces }, (_, piece) =>
      digestOf(contentOf(version, piece)),
    );
    return Promise.resolve({ model: name, version, digests });
  }

  getPiece(_address: string, _model: string, version: number, piece: number): Promise<Uint8Array> {
    this.reads += 1;
    const isWrong = this.reads % this.wrongEach === 0;
    return Promise.resolve(isWrong ? Buffer.from('wrong') : contentOf(version, piece));
  }
}
