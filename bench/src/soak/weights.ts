import { pieceOf } from './origin.js';
import { soakModel } from './shape.js';

const { name: model, pieces, layers } = soakModel;
const loadMs = 100;
/** Orders of the agent that begin nothing. */
const conflict = 409;

/** A status and a body. */
export interface WeightAnswer {
  readonly status: number;
  readonly body: Buffer | string;
}

const answered = (status: number, value: object = {}): WeightAnswer => ({
  status,
  body: JSON.stringify(value),
});

/** What an engine holds of its model, and the orders of the agent beside it. */
export class EngineWeights {
  version = 1;

  /** Whether a load has begun, so that nothing new is accepted. */
  isBusy = false;

  private orders = 0;

  private ordered = 0;

  private readonly staged = new Map<number, Buffer>();

  constructor(
    private readonly running: () => number,
    private readonly onLoaded: () => void,
    private readonly onBroken: (text: string) => void,
  ) {}

  /** Layers as engines tell them; null for none. */
  get layers(): object | null {
    return this.version > 0 ? { From: 0, To: layers, Version: this.version } : null;
  }

  /** The engine has started anew; what is staged stays. */
  forget(): void {
    this.version = 0;
    this.orders = 0;
    this.isBusy = false;
  }

  /** Nothing runs: a load that waits for that begins. */
  idle(): void {
    if (!this.isBusy || this.running() > 0) return;
    const { orders } = this;
    setTimeout(() => this.finishLoad(orders), loadMs);
  }

  /** Answers a call of the agent; undefined for an unknown one. */
  serve(url: string, body: Buffer, report: object): WeightAnswer | undefined {
    const { pathname, searchParams } = new URL(url, 'http://engine');
    const [, , call = '', of = ''] = pathname.split('/');
    const piece = Number(searchParams.get('Num') ?? -1);
    const handlers: Readonly<Record<string, () => WeightAnswer>> = {
      report: () =>
        answered(200, { ...report, Busy: this.isBusy, Seq: this.orders, layers: this.layers }),
      'stage-put': () => {
        this.staged.set(piece, body);
        return answered(200);
      },
      'stage-get': () => this.readStaged(piece),
      order: () => this.order(body),
    };
    return of === '' || of === model ? handlers[call]?.() : undefined;
  }

  private readStaged(piece: number): WeightAnswer {
    if (piece < 0) return answered(200, { held: [...this.staged.keys()] });
    const bytes = this.staged.get(piece);
    return bytes ? { status: 200, body: bytes } : answered(404);
  }

  private order(body: Buffer): WeightAnswer {
    const { Version, Expected } = JSON.parse(body.toString()) as {
      Version: number;
      Expected?: number;
    };
    if (this.version === Version) return answered(200);
    if (this.isBusy || (Expected !== undefined && Expected !== this.orders)) {
      return answered(conflict);
    }
    const wrong = Array.from({ length: pieces }, (_, piece) => piece).filter((piece) => {
      const bytes = this.staged.get(piece);
      return !bytes || !bytes.equals(pieceOf(Version, piece));
    });
    if (wrong.length > 0) this.onBroken(`version ${Version} lacks the pieces ${wrong.join()}`);
    this.orders += 1;
    this.ordered = Version;
    this.isBusy = true;
    this.idle();
    return answered(202);
  }

  private finishLoad(order: number): void {
    if (!this.isBusy || order !== this.orders || this.running() > 0) return;
    this.version = this.ordered;
    this.isBusy = false;
    this.onLoaded();
  }
}
