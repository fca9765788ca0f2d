import { Aborted, AsyncQueue, LinkLost, OutcomeUnknown } from '@laburnumstream/common';
import type { RunFrame, RunRequest, SessionRequest } from '@laburnumstream/protocol';

/**
 * Runs one request. The signal fires with `Aborted` when the request is cancelled, and with `LinkLost`
 * when the session has ended; an entry may then reconnect to fetch the response.
 */
export type RunFunction = (request: RunRequest, signal: AbortSignal) => AsyncIterable<RunFrame>;

/** The agent's side of a session: runs its requests concurrently. */
class SessionServer {
  readonly frames = new AsyncQueue<RunFrame>();

  private readonly running = new Map<string, AbortController>();

  constructor(private readonly run: RunFunction) {}

  async read(requests: AsyncIterable<SessionRequest>): Promise<void> {
    try {
      for await (const { content } of requests) {
        if (content.case === 'run') void this.startRun(content.value);
        if (content.case === 'cancel') this.cancelRun(content.value.id, content.value.attempt);
      }
      this.frames.end();
    } catch (error) {
      this.frames.fail(error);
    }
  }

  cancelAllRuns(): void {
    const reason = new LinkLost(new OutcomeUnknown('The session has ended.'));
    this.running.forEach((abort) => abort.abort(reason));
  }

  private cancelRun(id: string, attempt: number): void {
    this.running.get(`${id}/${attempt}`)?.abort(new Aborted('The caller has gone.'));
  }

  private async startRun(request: RunRequest): Promise<void> {
    const key = `${request.id}/${request.attempt}`;
    const abort = new AbortController();
    this.running.set(key, abort);
    try {
      for await (const frame of this.run(request, abort.signal)) this.frames.push(frame);
    } finally {
      this.running.delete(key);
    }
  }
}

/** Serves a session: runs its requests and yields the frames of all of them. */
export async function* serveSession(
  requests: AsyncIterable<SessionRequest>,
  run: RunFunction,
  signal: AbortSignal,
): AsyncGenerator<RunFrame> {
  const server = new SessionServer(run);
  const end = (): void => server.frames.end();
  signal.addEventListener('abort', end, { once: true });
  void server.read(requests);
  try {
    yield* server.frames;
  } finally {
    signal.removeEventListener('abort', end);
    server.cancelAllRuns();
  }
}
