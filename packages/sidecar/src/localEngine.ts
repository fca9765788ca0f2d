/** State of the engine beside this process. */
export interface EngineState {
  /** Wall-clock time of its start, in milliseconds. */
  readonly bornAt: number;
  readonly running: number;
  readonly waiting: number;
  /** Factor by which it is slower than its profile. */
  readonly pace: number;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** Orders that it has accepted since its start. */
  readonly orders: number;
  /** Layers that it holds, `to` exclusive; undefined when it has none. */
  readonly layers:
    { readonly from: number; readonly to: number; readonly version: number } | undefined;
}

/** The engine beside this process. Calls fail with `Unavailable` when it does not answer. */
export interface LocalEngine {
  state(signal?: AbortSignal): Promise<EngineState>;
  /** Numbers of the pieces that lie ready to be loaded. */
  stagedPieces(model: string, signal?: AbortSignal): Promise<readonly number[]>;
  /** A piece that lies ready, as it is now; throws `NotFound`. */
  stagedPiece(model: string, piece: number, signal?: AbortSignal): Promise<Uint8Array>;
  stage(model: string, piece: number, bytes: Uint8Array, signal?: AbortSignal): Promise<void>;
  /**
   * Orders it to load what lies ready, after the requests that run. `orders` is the number of orders
   * that it has accepted before. Throws `OrderRefused` when that does not fit its state.
   */
  load(model: string, version: number, orders: number, signal?: AbortSignal): Promise<void>;
}

/** Digests of the pieces of one version. */
export interface PieceManifest {
  readonly model: string;
  readonly version: number;
  /** SHA-256 in hex, by piece. */
  readonly digests: readonly string[];
}

/** The origin of weights. Calls fail with `Unavailable` when it does not answer. */
export interface PieceOrigin {
  /** Throws `InvalidInput` for what cannot be read, and `NotFound` for a version that is too old. */
  manifest(
    address: string,
    model: string,
    version: number,
    signal?: AbortSignal,
  ): Promise<PieceManifest>;
  piece(
    address: string,
    model: string,
    version: number,
    piece: number,
    signal?: AbortSignal,
  ): Promise<Uint8Array>;
}
