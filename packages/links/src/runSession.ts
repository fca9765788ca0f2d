import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import type { Transport } from '@connectrpc/connect';
import { Aborted, AsyncQueue, OutcomeUnknown } from '@laburnumstream/common';
import { AgentService, SessionRequestSchema } from '@laburnumstream/protocol';
import type { RunFrame, RunRequestSchema, SessionRequest } from '@laburnumstream/protocol';
import { toLinkFailure } from './refusals.js';

/** A request to be run in a session. */
export type RunMessage = MessageInitShape<typeof RunRequestSchema> & {
  readonly id: string;
  readonly attempt: number;
};

/** Whether a kind of frame is the last one of its request. */
const isTerminal: Readonly<Record<string, boolean>> = { end: true, refusal: true };

function toRunKey(id: string, attempt: number): string {
  return `${id}/${attempt}`;
}

/** A stream to an agent that multiplexes requests and their frames. */
export class RunSession {
  private readonly outgoing = new AsyncQueue<SessionRequest>();

  private readonly runs = new Map<string, AsyncQueue<RunFrame>>();

  private hasEnded = false;

  private isClosing = false;

  constructor(transport: Transport, signal: AbortSignal) {
    void this.read(transport, signal);
  }

  /** Whether the stream has ended. A new session is needed then. */
  get isClosed(): boolean {
    return this.hasEnded;
  }

  /**
   * Runs a request and yields its frames, up to its end or refusal. Throws `Unavailable` when the agent
   * was never reached and `OutcomeUnknown` when the stream broke. Cancels the request when the caller
   * stops reading early.
   */
  async *run(message: RunMessage, signal: AbortSignal): AsyncGenerator<RunFrame> {
    const key = toRunKey(message.id, message.attempt);
    const frames = new AsyncQueue<RunFrame>();
    if (this.hasEnded) throw new OutcomeUnknown('The session has ended.');
    this.runs.set(key, frames);
    this.send({ case: 'run', value: message });
    const abort = (): void => frames.fail(new Aborted());
    signal.addEventListener('abort', abort, { once: true });
    let ended = false;
    try {
      for await (const frame of frames) {
        ended = isTerminal[frame.content.case ?? ''] === true;
        yield frame;
        if (ended) return;
      }
    } finally {
      signal.removeEventListener('abort', abort);
      this.runs.delete(key);
      if (!ended) {
        this.send({ case: 'cancel', value: { id: message.id, attempt: message.attempt } });
      }
      if (this.isClosing) this.closeWhenIdle();
    }
  }

  /** Ends the stream once its last request has ended. */
  closeWhenIdle(): void {
    this.isClosing = true;
    if (this.runs.size === 0) this.outgoing.end();
  }

  private send(content: MessageInitShape<typeof SessionRequestSchema>['content']): void {
    this.outgoing.push(create(SessionRequestSchema, { content: content! }));
  }

  private async read(transport: Transport, signal: AbortSignal): Promise<void> {
    let failure: unknown = new OutcomeUnknown('The agent ended the session.');
    try {
      const client = createClient(AgentService, transport);
      for await (const frame of client.session(this.outgoing, { signal })) {
        // Frames of requests that have already ended here are dropped.
        this.runs.get(toRunKey(frame.id, frame.attempt))?.push(frame);
      }
    } catch (error) {
      failure = toLinkFailure(error);
    }
    this.hasEnded = true;
    this.outgoing.end();
    this.runs.forEach((frames) => frames.fail(failure));
  }
}
