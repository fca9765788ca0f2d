import { LinkLost, OutcomeUnknown } from '@laburnumstream/common';
import type { Clock } from '@laburnumstream/common';
import { FrameOrder } from '@laburnumstream/decisions';
import { fromRefusal } from '@laburnumstream/links';
import type { RunMessage } from '@laburnumstream/links';
import type { EndpointLoad, RunFrame } from '@laburnumstream/protocol';
import type { AnswerPart, CallerRequest } from './callerRequest.js';
import type { PartialAnswer } from './partialAnswer.js';
import { SilenceWatch } from './silenceWatch.js';

/** Carries requests to agents and their frames back. */
export interface RunTransport {
  run(address: string, message: RunMessage, signal: AbortSignal): AsyncIterable<RunFrame>;
  /** Gives up the connection to an agent; the next run makes a new one. */
  drop(address: string): void;
}

/** One attempt of a request at one agent. */
export interface Attempt {
  readonly number: number;
  readonly address: string;
  readonly attachOnly: boolean;
  readonly alone: boolean;
  readonly timeoutMs: number;
}

/** Sends one attempt and checks what comes back, frame by frame. */
export class AttemptReader {
  constructor(
    private readonly sessions: RunTransport,
    private readonly clock: Clock,
    private readonly silenceMs: number,
    private readonly onLoad: (load: EndpointLoad) => void,
  ) {}

  /** The new parts of the answer; throws when the answer is refused, cut or not whole. */
  async *read(
    request: CallerRequest,
    attempt: Attempt,
    partial: PartialAnswer,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart> {
    const { number, address, ...how } = attempt;
    const { affinity, ...fields } = request;
    const { assembly, weights } = partial;
    const message = { ...fields, ...how, attempt: number, weights, resumeFrom: assembly.count };
    const order = new FrameOrder(request.id, number);
    const watch = new SilenceWatch(this.clock, this.silenceMs, signal, () =>
      this.sessions.drop(address),
    );
    const frames = this.sessions.run(address, message, watch.signal);
    try {
      for await (const frame of watch.guard(frames)) {
        if (!order.accepts(frame)) continue;
        const part = this.accept(frame, partial);
        if (part) yield part;
        if (part?.kind === 'end') return;
      }
    } finally {
      watch.stop();
    }
    throw new LinkLost(new OutcomeUnknown('The answer ended without its end mark.'));
  }

  private accept(frame: RunFrame, partial: PartialAnswer): AnswerPart | undefined {
    if (frame.load) this.onLoad(frame.load);
    const { content, weights } = frame;
    switch (content.case) {
      case 'tokens': {
        const { firstIndex, texts } = content.value;
        const fresh = partial.assembly.append(firstIndex, texts);
        if (fresh.length === 0) return undefined;
        partial.begin(weights);
        const fromIndex = fresh[0]!.index;
        return { kind: 'tokens', firstIndex: fromIndex, texts: fresh.map(({ text }) => text) };
      }
      case 'answer': {
        const { status, body } = content.value;
        partial.take({ status, body });
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
