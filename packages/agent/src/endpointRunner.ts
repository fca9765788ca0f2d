import {
  EndpointDied,
  Execution,
  Failure,
  WeightsChanged,
  Unavailable,
  toFailure,
} from '@laburnumstream/common';
import type { ModelEngine, PlainService } from '@laburnumstream/common';
import type { RunRequest } from '@laburnumstream/protocol';
import type { RunStream } from './runStream.js';
import { TokenBound } from './tokenBound.js';

const retryAfterMs = 500;

/** The endpoint of this agent: exactly one of the two is set. */
export interface Endpoint {
  readonly engine?: ModelEngine;
  readonly plain?: PlainService;
}

function wrongKindFailure(): Failure {
  return new Failure('wrong_kind', 'The endpoint is of the other kind.', {
    status: 400,
    execution: Execution.notRun,
  });
}

/** Runs requests on the endpoint and detects when it dies while they run. */
export class EndpointRunner {
  /** The last reported boot id; a different one means that the endpoint restarted. */
  bootId = '';

  constructor(
    private readonly endpoint: Endpoint,
    private readonly servedWeights: () => string,
  ) {}

  /** Sends the request to the endpoint once and writes the response to `stream`. */
  async run(
    request: RunRequest,
    stream: RunStream,
    priority: number,
    signal: AbortSignal,
  ): Promise<void> {
    const boot = this.bootId;
    try {
      if (request.work.case === 'call') await this.call(request, stream, signal);
      else await this.generate(request, stream, priority, signal);
    } catch (error) {
      const failure = toFailure(error);
      if (signal.aborted || failure.execution !== Execution.unknown) throw failure;
      throw (await this.hasDied(boot)) ? new EndpointDied(failure) : failure;
    }
  }

  /**
   * Throws `Unavailable` when the endpoint is already down, so that the crash is not attributed to
   * a request.
   */
  async checkAlive(): Promise<void> {
    const source = this.endpoint.engine ?? this.endpoint.plain;
    try {
      this.bootId = (await source?.getLoadReport())?.boot ?? '';
    } catch (error) {
      throw new Unavailable('The endpoint is down.', retryAfterMs, error);
    }
  }

  private async generate(
    request: RunRequest,
    stream: RunStream,
    priority: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { engine } = this.endpoint;
    if (!engine || request.work.case !== 'generation') throw wrongKindFailure();
    const weights = this.servedWeights();
    if (request.weights && request.weights !== weights) throw new WeightsChanged();
    Object.assign(stream, { weights });
    const { prompt, maxTokens, adapter } = request.work.value;
    const id = `${request.id}-${request.attempt}`;
    const { resumeFrom } = request;
    const base = { id, prompt, maxTokens, priority, resumeFrom };
    const generation = adapter ? { ...base, adapter } : base;
    const bound = new TokenBound(maxTokens - resumeFrom);
    try {
      for await (const { text } of engine.generate(generation, signal)) {
        bound.add(text);
        stream.push(text);
      }
    } finally {
      if (signal.aborted) void engine.cancel(id).catch(() => undefined);
    }
    stream.finish();
  }

  private async call(request: RunRequest, stream: RunStream, signal: AbortSignal): Promise<void> {
    const { plain } = this.endpoint;
    if (!plain || request.work.case !== 'call') throw wrongKindFailure();
    const { method, path, body } = request.work.value;
    stream.finish(await plain.call({ id: request.id, method, path, body }, signal));
  }

  /** Whether the endpoint is unreachable or has restarted since boot id `boot`. */
  private async hasDied(boot: string): Promise<boolean> {
    const source = this.endpoint.engine ?? this.endpoint.plain;
    try {
      const report = await source?.getLoadReport();
      return boot !== '' && report?.boot !== boot;
    } catch {
      return true;
    }
  }
}
