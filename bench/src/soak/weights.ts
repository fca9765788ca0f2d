import { buildPiece } from './origin.js';
import { soakModel } from './shape.js';

const { name: model, pieces, layers } = soakModel;
const loadMs = 100;
/** Status of orders that are not accepted. */
const conflictStatus = 409;

/** Status and body of a response to the agent. */
export interface WeightResponse {
  readonly status: number;
  readonly body: Buffer | string;
}

const jsonResponse = (status: number, value: object = {}): WeightResponse => ({
  status,
  body: JSON.stringify(value),
});

/** The staged and loaded weights of a simulated engine, and the load orders of its agent. */
export class EngineWeights {
  /** Version of the loaded weights; 0 for none. */
  version = 1;

  /** Whether a load is pending or running; new requests are rejected meanwhile. */
  isLoading = false;

  private orderCount = 0;

  private orderedVersion = 0;

  private readonly staged = new Map<number, Buffer>();

  constructor(
    private readonly getRunning: () => number,
    private readonly onLoaded: () => void,
    private readonly onViolation: (text: string) => void,
  ) {}

  /** Loaded layers in the format of engine reports; null for none. */
  get layers(): object | null {
    return this.version > 0 ? { From: 0, To: layers, Version: this.version } : null;
  }

  /** Resets the state after a restart; staged pieces are kept. */
  reset(): void {
    this.version = 0;
    this.orderCount = 0;
    this.isLoading = false;
  }

  /** Starts a pending load if no request is running. */
  loadIfIdle(): void {
    if (!this.isLoading || this.getRunning() > 0) return;
    const { orderCount } = this;
    setTimeout(() => this.finishLoad(orderCount), loadMs);
  }

  /** Handles a call of the agent; returns undefined for unknown calls. */
  handleCall(url: string, body: Buffer, report: object): WeightResponse | undefined {
    const { pathname, searchParams } = new URL(url, 'http://engine');
    const [, , call = '', calledModel = ''] = pathname.split('/');
    const piece = Number(searchParams.get('Num') ?? -1);
    const handlers: Readonly<Record<string, () => WeightResponse>> = {
      report: () =>
        jsonResponse(200, {
          ...report,
          Busy: this.isLoading,
          Seq: this.orderCount,
          layers: this.layers,
        }),
      'stage-put': () => {
        this.staged.set(piece, body);
        return jsonResponse(200);
      },
      'stage-get': () => this.readStaged(piece),
      order: () => this.handleOrder(body),
    };
    return calledModel === '' || calledModel === model ? handlers[call]?.() : undefined;
  }

  private readStaged(piece: number): WeightResponse {
    if (piece < 0) return jsonResponse(200, { held: [...this.staged.keys()] });
    const bytes = this.staged.get(piece);
    return bytes ? { status: 200, body: bytes } : jsonResponse(404);
  }

  private handleOrder(body: Buffer): WeightResponse {
    const { Version, Expected } = JSON.parse(body.toString()) as {
      Version: number;
      Expected?: number;
    };
    if (this.version === Version) return jsonResponse(200);
    if (this.isLoading || (Expected !== undefined && Expected !== this.orderCount)) {
      return jsonResponse(conflictStatus);
    }
    const invalidPieces = Array.from({ length: pieces }, (_, piece) => piece).filter((piece) => {
      const bytes = this.staged.get(piece);
      return !bytes || !bytes.equals(buildPiece(Version, piece));
    });
    if (invalidPieces.length > 0) {
      this.onViolation(`version ${Version}: missing or wrong pieces ${invalidPieces.join()}`);
    }
    this.orderCount += 1;
    this.orderedVersion = Version;
    this.isLoading = true;
    this.loadIfIdle();
    return jsonResponse(202);
  }

  private finishLoad(orderCount: number): void {
    if (!this.isLoading || orderCount !== this.orderCount || this.getRunning() > 0) return;
    this.version = this.orderedVersion;
    this.isLoading = false;
    this.onLoaded();
  }
}
