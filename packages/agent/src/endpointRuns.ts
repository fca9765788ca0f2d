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

const downRetryMs = 500;

/** The endpoint beside this agent: exactly one of the two. */
export interface Endpoint {
  readonly engine?: ModelEngine;
  readonly plain?: PlainService;
}

function wrongKind(): Failure {
  return new Failure('wrong_kind', 'The endpoint is of the other kind.', {
    status: 400,
    execution: Execution.notRun,
  });
}

/** Runs requests at the endpoint, and tells when it died under them. */
export class EndpointRuns {
  /** The boot id that the endpoint reported last; another one means that it died. */
  bootId = '';

  constructor(
    private readonly endpoint: Endpoint,
    private readonly serving: () => string,
  ) {}

  /** Dispatches the request once and fills its stream. */
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
      throw (await this.died(boot)) ? new EndpointDied(failure) : failure;
    }
  }

  /** Throws `Unavailable` when the endpoint is down already, so that no request is blamed for it. */
  async checkAlive(): Promise<void> {
    const source = this.endpoint.engine ?? this.endpoint.plain;
    try {
      this.bootId = (await source?.getLoadReport())?.boot ?? '';
    } catch (error) {
      throw new Unavailable('The endpoint is down.', downRetryMs, error);
    }
  }

  private async generate(
    request: RunRequest,
    stream: RunStream,
    priority: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { engine } = this.endpoint;
    if (!engine || request.work.case !== 'generation') throw wrongKind();
    const weights = this.serving();
    if (request.weights && request.weights !== weights) throw new WeightsChanged();
    Object.assign(stream, { weights });
    const { prompt, maxTokens, adapter } = request.work.value;
    const id = `${request.id}-${request.attempt}`;
    const { resumeFrom } = request;
    const shared = { id, prompt, maxTokens, priority, resumeFrom };
    const generation = adapter ? { ...shared, adapter } : shared;
    try {
      for await (const { text } of engine.generate(generation, signal)) stream.push(text);
    } finally {
      if (signal.aborted) void engine.cancel(id).catch(() => undefined);
    }
    stream.finish();
  }

  private async call(request: RunRequest, stream: RunStream, signal: AbortSignal): Promise<void> {
    const { plain } = this.endpoint;
    if (!plain || request.work.case !== 'call') throw wrongKind();
    const { method, path, body } = request.work.value;
    stream.finish(await plain.call({ id: request.id, method, path, body }, signal));
  }

  /** Whether the endpoint is gone or has restarted since a request began. */
  private async died(boot: string): Promise<boolean> {
    const source = this.endpoint.engine ?? this.endpoint.plain;
    try {
      const report = await source?.getLoadReport();
      return boot !== '' && report?.boot !== boot;
    } catch {
      return true;
    }
  }
}
