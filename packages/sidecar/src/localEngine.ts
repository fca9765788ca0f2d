/** State of the local engine. */
export interface EngineState {
  /** Wall-clock time of its start, in milliseconds. */
  readonly bornAt: number;
  /** Requests in execution. */
  readonly running: number;
  /** Requests queued at the engine. */
  readonly waiting: number;
  /** Factor by which the engine is slower than its profile. */
  readonly slowdown: number;
  /** Whether the engine is executing an order. */
  readonly isExecutingOrder: boolean;
  /** Number of orders accepted since its start. */
  readonly acceptedOrders: number;
  /** Layers that the engine holds, `to` exclusive; undefined when it holds none. */
  readonly layers:
    { readonly from: number; readonly to: number; readonly version: number } | undefined;
}

/** The engine on the same instance. Calls fail with `Unavailable` when it does not respond. */
export interface LocalEngine {
  getState(signal?: AbortSignal): Promise<EngineState>;
  /** Lists the numbers of the staged pieces, which are ready to be loaded. */
  listStagedPieces(model: string, signal?: AbortSignal): Promise<readonly number[]>;
  /** Reads back a staged piece, which may be corrupted; throws `NotFound` for a missing piece. */
  getStagedPiece(model: string, piece: number, signal?: AbortSignal): Promise<Uint8Array>;
  stagePiece(model: string, piece: number, bytes: Uint8Array, signal?: AbortSignal): Promise<void>;
  /**
   * Orders the engine to load the staged pieces once its running requests have ended. Throws
   * `OrderRefused` when the engine refuses the order, for instance because `acceptedOrders` is not the
   * number of orders that it has accepted so far.
   */
  orderLoad(
    model: string,
    version: number,
    acceptedOrders: number,
    signal?: AbortSignal,
  ): Promise<void>;
}

/** Manifest of one version: the digests of its pieces. */
export interface PieceManifest {
  readonly model: string;
  readonly version: number;
  /** SHA-256 of each piece, in hex. */
  readonly digests: readonly string[];
}

/** The origin of weights. Calls fail with `Unavailable` when it does not respond. */
export interface PieceOrigin {
  /** Throws `InvalidInput` for an invalid manifest and `NotFound` for a version that is too old. */
  getManifest(
    address: string,
    model: string,
    version: number,
    signal?: AbortSignal,
  ): Promise<PieceManifest>;
  getPiece(
    address: string,
    model: string,
    version: number,
    piece: number,
    signal?: AbortSignal,
  ): Promise<Uint8Array>;
}
