import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Random } from '@laburnumstream/common';
import { plainFault, streamFault } from './answers.js';
import { RequestEnd, SoakRule, harmOf } from './history.js';
import type { SentRequest, SoakHistory } from './history.js';
import { pause } from './pause.js';
import { SoakBounds, soakHost, soakRoutes } from './shape.js';
import type { SoakRoute } from './shape.js';

const longestGapMs = 60;
const unreachedGapMs = 150;
/** Time beyond its deadline after which a caller closes its connection, in milliseconds. */
const patienceMs = 5_000;
/** Time before its deadline in which a request may be cut, in milliseconds. */
const lateMs = 300;
const leaveShare = 0.04;
const longestStayMs = 300;
const longestBody = 400;

/** Statuses that say that a request has not run and never will. */
const refusals: readonly number[] = [408, 421, 429, 503];

/** Where a caller's requests go, and what they carry. */
export interface CallerContext {
  readonly entry: string;
  readonly host: string;
  readonly port: number;
  readonly history: SoakHistory;
  readonly random: Random;
  readonly key: () => string;
}

/** A caller that sends one request after the other on a connection that it keeps as long as it can. */
export class SoakCaller {
  /** Times of served requests, in milliseconds. */
  readonly times: Histogram = build();

  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private requests = 0;

  constructor(
    private readonly name: string,
    private readonly context: CallerContext,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.context;
    while (!signal.aborted) {
      const route = soakRoutes[Math.floor(random.next() * soakRoutes.length)]!;
      const end = await this.send(route, random.next() < leaveShare);
      const gapMs = end === RequestEnd.unreached ? unreachedGapMs : random.next() * longestGapMs;
      await pause(gapMs, signal);
    }
  }

  close(): void {
    this.agent.destroy();
  }

  /** Sends one request, and records and checks what comes back. */
  async send(route: SoakRoute, leaves = false): Promise<RequestEnd> {
    const { history, random, entry } = this.context;
    this.requests += 1;
    const id = `${this.name}-${this.requests}`;
    const request: SentRequest = {
      id,
      route,
      path: `/${route.name}/${id}?of=${this.requests}`,
      body: 'b'.repeat(1 + Math.floor(random.next() * longestBody)),
      key: this.context.key(),
      deadlineMs: route.timeoutMs - Math.floor(random.next() * route.timeoutMs * 0.5),
      entry,
      sentAt: history.now(),
    };
    history.sent(request);
    const end = await this.exchange(request, leaves ? random.next() * longestStayMs : undefined);
    history.ended(id, end);
    if (end === RequestEnd.cut) this.checkLost(request);
    if (end === RequestEnd.served) {
      this.times.recordValue(Math.max(1, Math.round(history.now() - request.sentAt)));
    }
    return end;
  }

  private exchange(request: SentRequest, leavesMs: number | undefined): Promise<RequestEnd> {
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
      const end = (how: RequestEnd): void => {
        timers.forEach((timer) => clearTimeout(timer));
        resolve(how);
      };
      const leave = (how: RequestEnd) => () => {
        sent.destroy();
        end(how);
      };
      const limitMs = request.deadlineMs + patienceMs;
      const lose = leave(RequestEnd.cut);
      timers.push(
        setTimeout(() => {
          this.checkAnswered(request, limitMs);
          lose();
        }, limitMs),
      );
      if (leavesMs !== undefined) timers.push(setTimeout(leave(RequestEnd.left), leavesMs));
      this.follow(sent, request, end);
      sent.end(request.body);
    });
  }

  private follow(sent: ClientRequest, request: SentRequest, end: (how: RequestEnd) => void): void {
    sent.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code?.startsWith('HPE_') && error.code !== 'HPE_INVALID_EOF_STATE') {
        this.violate(request, `got no HTTP answer: ${error.code}`);
      }
      end(error.code === 'ECONNREFUSED' ? RequestEnd.unreached : RequestEnd.cut);
    });
    sent.once('response', (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => undefined);
      response.once('close', () => {
        const body = Buffer.concat(parts).toString();
        end(this.judge(request, response, body));
      });
    });
  }

  private judge(request: SentRequest, response: IncomingMessage, body: string): RequestEnd {
    const { statusCode = 0, complete, headers } = response;
    const { id, route } = request;
    if (refusals.includes(statusCode)) return RequestEnd.refused;
    if (statusCode !== 200) return RequestEnd.failed;
    const isStream = route.kind === 'stream';
    if (headers['laburnumstream-server-seal'] === undefined) {
      this.violate(request, 'got a success that no endpoint signed');
    }
    if (headers['laburnumstream-request-id'] !== id) {
      this.violate(request, `got the head of ${headers['laburnumstream-request-id']}`);
    }
    const fault = isStream ? streamFault(id, body, complete) : complete && plainFault(id, body);
    if (fault) this.violate(request, `got an answer that ${fault}`);
    return complete ? RequestEnd.served : RequestEnd.cut;
  }

  /** An entry that stops in order cuts nothing that undisturbed engines run. */
  private checkLost({ id, route, entry, sentAt, deadlineMs }: SentRequest): void {
    const { history } = this.context;
    const engines = history.runs.get(id) ?? [];
    const isLate = history.now() - sentAt > deadlineMs - lateMs;
    if (engines.length === 0 || isLate) return;
    if (!history.isQuiet([harmOf(entry), ...engines], SoakBounds.contactMs)) return;
    history.violate(SoakRule.lost, `${route.name} ${id} was cut by ${entry}`);
  }

  /** Entries that work give each request an end in its time. */
  private checkAnswered({ id, entry, route }: SentRequest, limitMs: number): void {
    const { history } = this.context;
    if (!history.isQuiet([entry], limitMs)) return;
    history.violate(
      SoakRule.answered,
      `${route.name} ${id} at ${entry} has no end in ${limitMs} ms`,
    );
  }

  private violate({ id, route, entry }: SentRequest, what: string): void {
    const rule = route.kind === 'stream' ? SoakRule.stream : SoakRule.whole;
    this.context.history.violate(rule, `${route.name} ${id} at ${entry} ${what}`);
  }
}
