import { createHash } from 'node:crypto';
import { NotFound } from '@laburnumstream/common';
import type { EngineState, LocalEngine } from '@laburnumstream/sidecar';

/** Shape of the versions of the tests. */
export const testVersion = { pieces: 12, layers: 4 } as const;

/** The right bytes of a piece. */
export function contentOf(version: number, piece: number): Buffer {
  return Buffer.from(`version ${version} piece ${piece} `.repeat(20));
}

/** SHA-256 in hex. */
export function digestOf(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** An engine that keeps what is staged, and may spoil it. */
export class StagingEngine implements LocalEngine {
  readonly staged = new Map<number, Uint8Array>();

  /** Versions that it was ordered to load, and whether every piece was right at that moment. */
  readonly orders: { readonly version: number; readonly isRight: boolean }[] = [];

  bornAt = 1;

  spoilsEach = Infinity;

  private version = 0;

  private puts = 0;

  restart(): void {
    this.bornAt += 1;
    this.version = 0;
  }

  getState(): Promise<EngineState> {
    const { bornAt, version, orders } = this;
    const held = version > 0 ? { from: 0, to: testVersion.layers, version } : undefined;
    return Promise.resolve({
      bornAt,
      running: 0,
      waiting: 0,
      slowdown: 1,
      isExecutingOrder: false,
      acceptedOrders: orders.length,
      layers: held,
    });
  }

  listStagedPieces(): Promise<readonly number[]> {
    return Promise.resolve([...this.staged.keys()]);
  }

  getStagedPiece(_model: string, piece: number): Promise<Uint8Array> {
    const bytes = this.staged.get(piece);
    return bytes ? Promise.resolve(bytes) : Promise.reject(new NotFound('Not staged.'));
  }

  stagePiece(_model: string, piece: number, bytes: Uint8Array): Promise<void> {
    this.puts += 1;
    const isSpoilt = this.puts % this.spoilsEach === 0;
    this.staged.set(piece, isSpoilt ? Buffer.from('spoilt') : bytes);
    return Promise.resolve();
  }

  orderLoad(_model: string, version: number): Promise<void> {
    const isRight = Array.from({ length: testVersion.pieces }, (_, piece) => piece).every(
      (piece) => {
        const bytes = this.staged.get(piece);
        return bytes !== undefined && digestOf(bytes) === digestOf(contentOf(version, piece));
      },
    );
    this.orders.push({ version, isRight });
    this.version = version;
    return Promise.resolve();
  }
}
