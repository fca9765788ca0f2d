import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Random } from '@laburnumstream/common';
import { RequestOutcome, SoakRule, getAbruptFaultName } from './history.js';
import type { SentRequest, SoakHistory } from './history.js';
import { interruptibleSleep } from './interruptibleSleep.js';
import { findPlainFault, findStreamFault } from './responses.js';
import { SoakBounds, soakHost, soakRoutes } from './shape.js';
import type { SoakRoute } from './shape.js';

const maxGapMs = 60;
const unreachedGapMs = 150;
/** Time after its deadline at which a caller abandons a request, in milliseconds. */
const responseMarginMs = 5_000;
/** Time before the deadline in which a request may be cut off, in milliseconds. */
const deadlineMarginMs = 300;
const disconnectShare = 0.04;
const maxDisconnectDelayMs = 300;
const maxBodyBytes = 400;

/** Statuses that guarantee that a request was not and will not be executed. */
const refusalStatuses: readonly number[] = [408, 421, 429, 503];

/** Target, credentials and recorder of a caller. */
export interface CallerContext {
  readonly entry: string;
  readonly host: string;
  readonly port: number;
  readonly history: SoakHistory;
  readonly random: Random;
  readonly pickKey: () => string;
}

/** A caller that sends requests one at a time over a keep-alive connection. */
export class SoakCaller {
  /** Latencies of served requests, in milliseconds. */
  readonly latencies: Histogram = build();

  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private requestCount = 0;

  constructor(
    private readonly name: string,
    private readonly context: CallerContext,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.context;
    while (!signal.aborted) {
      const route = soakRoutes[Math.floor(random.next() * soakRoutes.length)]!;
      const outcome = await this.send(route, random.next() < disconnectShare);
      const gapMs =
        outcome === RequestOutcome.unreached ? unreachedGapMs : random.next() * maxGapMs;
      await interruptibleSleep(gapMs, signal);
    }
  }

  close(): void {
    this.agent.destroy();
  }

  /** Sends one request, and records and checks its response. */
  async send(route: SoakRoute, disconnects = false): Promise<RequestOutcome> {
    const { history, random, entry } = this.context;
    this.requestCount += 1;
    const id = `${this.name}-${this.requestCount}`;
    const request: SentRequest = {
      id,
      route,
      path: `/${route.name}/${id}?of=${this.requestCount}`,
      body: 'b'.repeat(1 + Math.floor(random.next() * maxBodyBytes)),
      key: this.context.pickKey(),
      deadlineMs: route.timeoutMs - Math.floor(random.next() * route.timeoutMs * 0.5),
      entry,
      sentAt: history.now(),
    };
    history.recordSent(request);
    const outcome = await this.exchange(
      request,
      disconnects ? random.next() * maxDisconnectDelayMs : undefined,
    );
    history.recordOutcome(id, outcome);
    if (outcome === RequestOutcome.cut) this.checkLost(request);
    if (outcome === RequestOutcome.served) {
      this.latencies.recordValue(Math.max(1, Math.round(history.now() - request.sentAt)));
    }
    return outcome;
  }

  private exchange(
    request: SentRequest,
    disconnectAfterMs: number | undefined,
  ): Promise<RequestOutcome> {
    const { host, port } = this.context;
    return new Promise((resolve) => {
      const sent = httpRequest({
        host,
        port,
        agent: this.agent,
        method: 'POST',
        path: request.path,
        headers: {
          host: soakHost,
          authorization: `Bearer ${request.key}`,
          'laburnumstream-request-id': request.id,
          'laburnumstream-deadline-ms': String(request.deadlineMs),
          'laburnumstream-token-usage': '100,20',
          'content-length': String(request.body.length),
        },
      });
      const timers: NodeJS.Timeout[] = [];
      const finish = (outcome: RequestOutcome): void => {
        timers.forEach((timer) => clearTimeout(timer));
        resolve(outcome);
      };
      const disconnect = (outcome: RequestOutcome) => () => {
        sent.destroy();
        finish(outcome);
      };
      const limitMs = request.deadlineMs + responseMarginMs;
      const timeOut = disconnect(RequestOutcome.cut);
      timers.push(
        setTimeout(() => {
          this.checkAnswered(request, limitMs);
          timeOut();
        }, limitMs),
      );
      if (disconnectAfterMs !== undefined) {
        timers.push(setTimeout(disconnect(RequestOutcome.left), disconnectAfterMs));
      }
      this.handleEvents(sent, request, finish);
      sent.end(request.body);
    });
  }

  private handleEvents(
    sent: ClientRequest,
    request: SentRequest,
    finish: (outcome: RequestOutcome) => void,
  ): void {
    sent.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code?.startsWith('HPE_') && error.code !== 'HPE_INVALID_EOF_STATE') {
        this.recordViolation(request, `got an invalid HTTP response: ${error.code}`);
      }
      finish(error.code === 'ECONNREFUSED' ? RequestOutcome.unreached : RequestOutcome.cut);
    });
    sent.once('response', (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => undefined);
      response.once('close', () => {
        const body = Buffer.concat(parts).toString();
        finish(this.classify(request, response, body));
      });
    });
  }

  private classify(request: SentRequest, response: IncomingMessage, body: string): RequestOutcome {
    const { statusCode = 0, complete, headers } = response;
    const { id, route } = request;
    if (refusalStatuses.includes(statusCode)) return RequestOutcome.refused;
    if (statusCode !== 200) return RequestOutcome.failed;
    const isStream = route.kind === 'stream';
    if (headers['laburnumstream-server-seal'] === undefined) {
      this.recordViolation(request, 'got a success that no endpoint signed');
    }
    if (headers['laburnumstream-request-id'] !== id) {
      this.recordViolation(request, `got the headers of ${headers['laburnumstream-request-id']}`);
    }
    const fault = isStream
      ? findStreamFault(id, body, complete)
      : complete && findPlainFault(id, body);
    if (fault) this.recordViolation(request, `got a response that ${fault}`);
    return complete ? RequestOutcome.served : RequestOutcome.cut;
  }

  /**
   * Reports a running request whose connection was closed, unless its deadline was near, or its
   * entry or an engine was disturbed. An entry that is asked to stop has to finish its requests.
   */
  private checkLost({ id, route, entry, sentAt, deadlineMs }: SentRequest): void {
    const { history } = this.context;
    const engines = history.runs.get(id) ?? [];
    const isLate = history.now() - sentAt > deadlineMs - deadlineMarginMs;
    if (engines.length === 0 || isLate) return;
    if (!history.isUndisturbed([getAbruptFaultName(entry), ...engines], SoakBounds.undisturbedMs)) {
      return;
    }
    history.recordViolation(SoakRule.lost, `${route.name} ${id} was cut by ${entry}`);
  }

  /** Reports a request that an undisturbed entry has not completed within its time limit. */
  private checkAnswered({ id, entry, route }: SentRequest, limitMs: number): void {
    const { history } = this.context;
    if (!history.isUndisturbed([entry], limitMs)) return;
    history.recordViolation(
      SoakRule.answered,
      `${route.name} ${id} at ${entry} is still open after ${limitMs} ms`,
    );
  }

  private recordViolation({ id, route, entry }: SentRequest, text: string): void {
    const rule = route.kind === 'stream' ? SoakRule.stream : SoakRule.whole;
    this.context.history.recordViolation(rule, `${route.name} ${id} at ${entry} ${text}`);
  }
}
