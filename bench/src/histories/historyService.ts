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

const maxArrivalMs = 3;
const maxRunMs = 40;
const faultShare = 0.1;
const retryAfterMs = 100;

/** Faults of a plain service in a history. */
export interface ServiceFaults {
  readonly losesResponses: boolean;
  /** Injected: runs calls and reports that they did not run. */
  readonly reportsFalseNotRun: boolean;
  /** Injected: returns the response of the previous call. */
  readonly returnsPreviousResponse: boolean;
}

/** A plain service in a history: reports each run and sometimes loses its response. */
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
    const result = this.execute(body);
    result.catch(() => undefined);
    return this.host.receive(Promise.race([result, aborted]));
  }

  getLoadReport(): Promise<LoadReport> {
    const idle = { boot: 'boot', running: 0, queued: 0, capacity: 16 };
    return this.host.receive(Promise.resolve({ ...idle, weights: '', adapters: [], role: '' }));
  }

  /** Continues even if the agent dies meanwhile. */
  private async execute(request: string): Promise<PlainResponse> {
    await this.clock.sleep(this.random.next() * maxArrivalMs);
    this.onRun(request);
    await this.clock.sleep(this.random.next() * maxRunMs);
    if (this.faults.reportsFalseNotRun && this.random.next() < faultShare)
      throw new Unavailable('Not run.', retryAfterMs);
    const losesResponse = this.faults.losesResponses && this.random.next() < faultShare;
    if (losesResponse) throw new OutcomeUnknown('The response was lost.');
    const answeredRequest =
      this.faults.returnsPreviousResponse && this.lastRequest ? this.lastRequest : request;
    this.lastRequest = request;
    return { status: 200, body: `done ${answeredRequest}` };
  }
}
