import { createHash } from 'node:crypto';
import { NotFound, OrderRefused, Unavailable } from '@laburnumstream/common';
import type { EngineState, LocalEngine } from '@laburnumstream/sidecar';

/** Number of pieces and layers of each version in tests. */
export const testVersion = { pieces: 12, layers: 4 } as const;

/** Returns the correct bytes of a piece. */
export function getPieceContent(version: number, piece: number): Buffer {
  return Buffer.from(`version ${version} piece ${piece} `.repeat(20));
}

/** Returns the SHA-256 digest in hexadecimal. */
export function sha256Hex(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Engine that stores staged pieces and can corrupt them. */
export class StagingEngine implements LocalEngine {
  readonly staged = new Map<number, Uint8Array>();

  /** Load orders in sequence; `isRight` tells whether all staged pieces were correct at that moment. */
  readonly orders: { readonly version: number; readonly isRight: boolean }[] = [];

  bornAt = 1;

  /** Each staged piece whose number is a multiple of this is corrupted. */
  corruptEvery = Infinity;

  /** Time after which orders without a response are accepted, in milliseconds; undefined if all get one. */
  lateOrderMs: number | undefined;

  private version = 0;

  private stageCalls = 0;

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
    this.stageCalls += 1;
    const isCorrupt = this.stageCalls % this.corruptEvery === 0;
    this.staged.set(piece, isCorrupt ? Buffer.from('spoilt') : bytes);
    return Promise.resolve();
  }

  orderLoad(_model: string, version: number, expected: number): Promise<void> {
    if (this.lateOrderMs === undefined) return this.acceptOrder(version, expected);
    setTimeout(
      () => void this.acceptOrder(version, expected).catch(() => undefined),
      this.lateOrderMs,
    );
    return Promise.reject(new Unavailable('The order got no response.', 0));
  }

  private acceptOrder(version: number, expected: number): Promise<void> {
    if (expected !== this.orders.length)
      return Promise.reject(new OrderRefused('Another order came first.'));
    const isRight = Array.from({ length: testVersion.pieces }, (_, piece) => piece).every(
      (piece) => {
        const bytes = this.staged.get(piece);
        return (
          bytes !== undefined && sha256Hex(bytes) === sha256Hex(getPieceContent(version, piece))
        );
      },
    );
    this.orders.push({ version, isRight });
    this.version = version;
    return Promise.resolve();
  }
}
