import { Failure } from '@laburnumstream/common';
import { Pool } from 'undici';

/** A server-sent event of a streamed response. */
export interface ServerEvent {
  readonly event: string;
  readonly data: Record<string, unknown>;
}

/** The result of one completion, as its caller received it. */
export interface CompletionResult {
  readonly status: number;
  readonly tokens: readonly string[];
  readonly ended: boolean;
  readonly error?: Record<string, unknown>;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** Parses a stream of server-sent events. */
export async function* parseServerEvents(body: AsyncIterable<Buffer>): AsyncGenerator<ServerEvent> {
  let remainder = '';
  for await (const bytes of body) {
    const blocks = (remainder + bytes.toString()).split('\n\n');
    remainder = blocks.pop() ?? '';
    for (const block of blocks) {
      const [first = '', second = ''] = block.split('\n');
      const data = JSON.parse(second.slice('data: '.length)) as Record<string, unknown>;
      yield { event: first.slice('event: '.length), data };
    }
  }
}

/** Options of one request. */
export interface CallOptions {
  readonly maxTokens?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** An API client of one workspace, connected to one entry. */
export class Caller {
  private readonly pool: Pool;

  constructor(
    address: string,
    private readonly token = 'token-of-workspace-0',
    connections = 256,
  ) {
    this.pool = new Pool(address, { connections });
  }

  /** Streams a completion and collects its events. */
  async complete(
    service: string,
    prompt: string,
    options: CallOptions = {},
  ): Promise<CompletionResult> {
    const started = performance.now();
    const { statusCode, body } = await this.pool.request({
      method: 'POST',
      path: `/v1/services/${service}/completions`,
      headers: this.headers(options),
      body: JSON.stringify({ prompt, max_tokens: options.maxTokens ?? 8, stream: true }),
      signal: options.signal ?? null,
    });
    if (statusCode !== 200) {
      const { error } = (await body.json()) as { error: Record<string, unknown> };
      const totalMs = performance.now() - started;
      return { status: statusCode, tokens: [], ended: false, error, firstTokenMs: 0, totalMs };
    }
    return this.collect(started, body);
  }

  /** Calls a plain service. */
  async call(
    service: string,
    path: string,
    body: string,
    options: CallOptions & { readonly method?: 'GET' | 'POST' } = {},
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const response = await this.pool.request({
      method: options.method ?? 'POST',
      path: `/v1/services/${service}/calls${path}`,
      headers: this.headers(options),
      ...(options.method === 'GET' ? {} : { body }),
      signal: options.signal ?? null,
    });
    const text = await response.body.text();
    try {
      return { status: response.statusCode, body: JSON.parse(text) as Record<string, unknown> };
    } catch {
      throw new Failure(
        'not_json',
        `The entry responded with ${response.statusCode} and no JSON: ${text}`,
      );
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }

  private headers(options: CallOptions): Record<string, string> {
    return { authorization: `Bearer ${this.token}`, ...options.headers };
  }

  private async collect(started: number, body: AsyncIterable<Buffer>): Promise<CompletionResult> {
    const tokens: string[] = [];
    let firstTokenMs = 0;
    let ended = false;
    let error: Record<string, unknown> | undefined;
    for await (const { event, data } of parseServerEvents(body)) {
      if (event === 'tokens') {
        if (tokens.length === 0) firstTokenMs = performance.now() - started;
        tokens.push(...(data.texts as string[]));
      }
      if (event === 'end') ended = true;
      if (event === 'error') error = data;
    }
    const totalMs = performance.now() - started;
    return { status: 200, tokens, ended, firstTokenMs, totalMs, ...(error ? { error } : {}) };
  }
}
