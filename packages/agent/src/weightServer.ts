import type { IncomingMessage, ServerResponse } from 'node:http';
import { NotFound } from '@laburnumstream/common';
import { sendFailure, sendJson } from '@laburnumstream/runtime';
import type { SendScheduler } from './sendScheduler.js';
import type { StoredVersion, WeightStore } from './weightStore.js';

/** One request for weights. */
interface WeightRequest {
  readonly digest: string;
  /** Path segment after the resource name: the index of a chunk. */
  readonly chunkIndex: string;
  /** Name of the requesting instance; empty for the endpoint. */
  readonly receiver: string;
  /** Time to wait for data that is not stored yet, in milliseconds. */
  readonly waitMs: number;
  /** Fires when the receiver has disconnected. */
  readonly disconnected: AbortSignal;
}

type Handler = (request: WeightRequest, response: ServerResponse) => Promise<void>;

/** Priority of sending a chunk to a receiver; the lowest number is sent first. */
export type ChunkPriority = (digest: string, receiver: string, chunk: number) => number;

/** Longest wait that a receiver may request, in milliseconds. */
const maxWaitMs = 2_000;

/** Serves stored weights: `/weights/DIGEST/manifest`, `/chunks/INDEX`, `/content`. */
export class WeightServer {
  private readonly handlers: Readonly<Record<string, Handler>> = {
    manifest: (request, response) => this.sendManifest(request, response),
    chunks: (request, response) => this.sendChunk(request, response),
    content: (request, response) => this.sendContent(request, response),
  };

  constructor(
    private readonly store: WeightStore,
    private readonly scheduler: SendScheduler,
    private readonly getPriority: ChunkPriority,
  ) {}

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://agent');
    const [, , digest = '', resource = '', chunkIndex = ''] = url.pathname.split('/');
    const disconnect = new AbortController();
    response.on('close', () => disconnect.abort());
    const waitMs = Math.min(maxWaitMs, Number(url.searchParams.get('waitMs') ?? 0));
    const receiver = url.searchParams.get('by') ?? '';
    try {
      const handler = this.handlers[resource];
      if (!handler) throw new NotFound(`There is no ${url.pathname}.`);
      await handler(
        { digest, chunkIndex, receiver, waitMs, disconnected: disconnect.signal },
        response,
      );
    } catch (error) {
      if (!disconnect.signal.aborted) sendFailure(response, error);
    }
  }

  private async sendManifest(request: WeightRequest, response: ServerResponse): Promise<void> {
    const version = await this.store.waitFor(
      request.digest,
      request.waitMs,
      request.disconnected,
      Boolean,
    );
    sendJson(response, 200, version.manifest);
  }

  private async sendChunk(request: WeightRequest, response: ServerResponse): Promise<void> {
    const { digest, chunkIndex, receiver, waitMs, disconnected } = request;
    const index = Number(chunkIndex);
    const isStored = (version: StoredVersion): boolean => version.chunks[index] !== undefined;
    const version = await this.store.waitFor(digest, waitMs, disconnected, isStored);
    const chunk = version.chunks[index]!;
    const priority = this.getPriority(digest, receiver, index);
    // A send that is not scheduled in time fails and the receiver retries, so that it can tell a
    // busy holder from a dead one.
    const timedOut = AbortSignal.timeout(maxWaitMs);
    if (
      !(await this.scheduler.awaitTurn(
        chunk.byteLength,
        priority,
        AbortSignal.any([disconnected, timedOut]),
      ))
    ) {
      throw new NotFound('The holder is busy.');
    }
    response.writeHead(200, { 'content-length': chunk.byteLength });
    response.end(chunk);
  }

  /** Sends the complete content to the endpoint; only verified versions are ever sent. */
  private async sendContent({ digest }: WeightRequest, response: ServerResponse): Promise<void> {
    const version = this.store.find(digest);
    if (!version?.isVerified) throw new NotFound('The version is not whole.');
    response.writeHead(200, { 'content-length': version.manifest.size });
    version.chunks.forEach((chunk) => response.write(chunk));
    response.end();
    return Promise.resolve();
  }
}
