import { Aborted, OutcomeUnknown, Unavailable } from '@laburnumstream/common';
import type {
  LoadReport,
  PlainResponse,
  PlainCall,
  PlainService,
  Random,
} from '@laburnumstream/common';
import type { Host } from './host.js';
import type { VirtualClock } from './virtualClock.js';

const arrivalMs = 3;
const workMs = 40;
const lostShare = 0.1;
const retryAfterMs = 100;

/** What goes wrong at a plain service in a history. */
export interface ServiceFaults {
  readonly losesAnswers: boolean;
  /** Planted: runs calls and then says that it did not. */
  readonly lies: boolean;
  /** Planted: answers with the answer of the call before. */
  readonly crosses: boolean;
}

/** A plain service in a history: notes each run and sometimes loses its answer. */
export class HistoryService implements PlainService {
  private lastRequest = '';

  constructor(
    private readonly clock: VirtualClock,
    private readonly host: Host,
    private readonly random: Random,
    private readonly onRun: (request: string) => void,
    private readonly faults: ServiceFaults,
  ) {}

  call({ body }: PlainCall, signal: AbortSignal): Promise<PlainResponse> {
    const aborted = new Promise<never>((_, reject) => {
      signal.addEventListener('abort', () => reject(new Aborted()), { once: true });
    });
    const result = this.work(body);
    result.catch(() => undefined);
    return this.host.receive(Promise.race([result, aborted]));
  }

  getLoadReport(): Promise<LoadReport> {
    const idle = { boot: 'boot', running: 0, queued: 0, capacity: 16 };
    return this.host.receive(Promise.resolve({ ...idle, weights: '', adapters: [], role: '' }));
  }

  /** Goes on although its agent may die meanwhile. */
  private async work(request: string): Promise<PlainResponse> {
    await this.clock.sleep(this.random.next() * arrivalMs);
    this.onRun(request);
    await this.clock.sleep(this.random.next() * workMs);
    if (this.faults.lies && this.random.next() < lostShare)
      throw new Unavailable('Not run.', retryAfterMs);
    const loses = this.faults.losesAnswers && this.random.next() < lostShare;
    if (loses) throw new OutcomeUnknown('The answer was lost.');
    const answered = this.faults.crosses && this.lastRequest ? this.lastRequest : request;
    this.lastRequest = request;
    return { status: 200, body: `done ${answered}` };
  }
}
