import { LinkLost, OutcomeUnknown } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';
import { FrameOrder } from '@laburnumstream/decisions';
import { fromRefusal } from '@laburnumstream/links';
import type { RunMessage } from '@laburnumstream/links';
import type { EndpointLoad, RunFrame } from '@laburnumstream/protocol';
import type { ResponsePart, CallerRequest } from './callerRequest.js';
import type { PartialResponse } from './partialResponse.js';
import { StreamWatchdog } from './streamWatchdog.js';

/** Sends requests to agents and returns their response frames. */
export interface RunTransport {
  run(address: string, message: RunMessage, signal: AbortSignal): AsyncIterable<RunFrame>;
  /** Closes the connection to an agent; the next run opens a new one. */
  drop(address: string): void;
}

/** Parameters of one attempt of a request at one agent. */
export interface Attempt {
  readonly number: number;
  readonly address: string;
  /** Attaches to a run that the agent already knows; never starts one. */
  readonly attachOnly: boolean;
  /** Runs only while nothing else runs at the endpoint. */
  readonly alone: boolean;
  readonly timeoutMs: number;
}

/** Sends one attempt to an agent and validates its response frame by frame. */
export class AttemptRunner {
  constructor(
    private readonly sessions: RunTransport,
    private readonly clock: Clock,
    private readonly silenceMs: number,
    private readonly onLoad: (load: EndpointLoad) => void,
  ) {}

  /**
   * Yields the response parts that earlier attempts have not delivered. Throws when the agent
   * refuses the request or the response is interrupted or incomplete.
   */
  async *run(
    request: CallerRequest,
    attempt: Attempt,
    partial: PartialResponse,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart> {
    const { number, address, ...options } = attempt;
    const { affinity, ...fields } = request;
    const { assembly, weights } = partial;
    const message = { ...fields, ...options, attempt: number, weights, resumeFrom: assembly.count };
    const frameOrder = new FrameOrder(request.id, number);
    const watchdog = new StreamWatchdog(this.clock, this.silenceMs, signal, () =>
      this.sessions.drop(address),
    );
    const frames = this.sessions.run(address, message, watchdog.signal);
    try {
      for await (const frame of watchdog.wrap(frames)) {
        if (!frameOrder.accepts(frame)) continue;
        const part = this.processFrame(frame, partial);
        if (part) yield part;
        if (part?.kind === 'end') return;
      }
    } finally {
      watchdog.stop();
    }
    throw new LinkLost(new OutcomeUnknown('The answer ended without its end mark.'));
  }

  private processFrame(frame: RunFrame, partial: PartialResponse): ResponsePart | undefined {
    if (frame.load) this.onLoad(frame.load);
    const { content, weights } = frame;
    switch (content.case) {
      case 'tokens': {
        const { firstIndex, texts } = content.value;
        const newTokens = partial.assembly.append(firstIndex, texts);
        if (newTokens.length === 0) return undefined;
        partial.setWeights(weights);
        const fromIndex = newTokens[0]!.index;
        return { kind: 'tokens', firstIndex: fromIndex, texts: newTokens.map(({ text }) => text) };
      }
      case 'answer': {
        const { status, body } = content.value;
        partial.setCallResponse({ status, body });
        return { kind: 'answer', status, body };
      }
      case 'end':
        return partial.finish(content.value);
      case 'refusal':
        throw fromRefusal(content.value);
      default:
        return undefined;
    }
  }
}
