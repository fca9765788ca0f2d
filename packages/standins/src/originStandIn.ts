import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { WeightKind, hash32 } from '@laburnumstream/common';
import type { Manifest } from '@laburnumstream/common';
import { HttpStandIn } from './httpStandIn.js';
import type { TokenBucket } from './tokenBucket.js';

interface PublishedVersion {
  readonly manifest: Manifest;
  readonly content: Buffer;
}

function sha256(content: Buffer): string {
  return createHash('sha256').update(content).digest('hex');
}

/** Deterministic content that differs between models and versions. */
export function makeContent(model: string, version: string, size: number): Buffer {
  const content = Buffer.alloc(size);
  let word = hash32(`${model}/${version}`);
  for (let offset = 0; offset + 4 <= size; offset += 4) {
    // A linear congruential generator; the content only has to vary.
    word = (Math.imul(word, 1_664_525) + 1_013_904_223) >>> 0;
    content.writeUInt32LE(word, offset);
  }
  return content;
}

/** A stand-in for the origin of weights, with an optional bandwidth limit. */
export class OriginStandIn extends HttpStandIn {
  private readonly published = new Map<string, PublishedVersion>();

  /** Total bytes of the chunks sent. */
  sentBytes = 0;

  /** Number of next chunk responses to corrupt. */
  corruptNext = 0;

  constructor(private readonly link?: TokenBucket) {
    super();
  }

  /** Content digests of all published versions of a model. */
  getContentDigests(model: string): string[] {
    return [...this.published.values()]
      .filter(({ manifest }) => manifest.model === model)
      .map(({ manifest }) => manifest.content);
  }

  /** Publishes a version, or replaces its content if it exists. */
  publish(
    model: string,
    version: string,
    content: Buffer,
    chunkBytes: number,
    kind: WeightKind = WeightKind.model,
  ): Manifest {
    const chunks: string[] = [];
    for (let offset = 0; offset < content.length; offset += chunkBytes) {
      chunks.push(sha256(content.subarray(offset, offset + chunkBytes)));
    }
    const size = content.length;
    const manifest = { kind, model, version, size, chunkBytes, chunks, content: sha256(content) };
    this.published.set(`${model}/${version}`, { manifest, content });
    return manifest;
  }

  protected override async handle(
    _request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const [, , model, , version, part, index] = url.pathname.split('/');
    const found = this.published.get(`${model}/${version}`);
    if (!found) this.send(response, 404);
    else if (part === 'manifest') this.send(response, 200, found.manifest);
    else await this.sendChunk(found, Number(index), response);
  }

  private async sendChunk(
    { manifest, content }: PublishedVersion,
    index: number,
    response: ServerResponse,
  ): Promise<void> {
    const start = index * manifest.chunkBytes;
    const chunk = Buffer.from(content.subarray(start, start + manifest.chunkBytes));
    await this.link?.consume(chunk.length);
    this.sentBytes += chunk.length;
    if (this.corruptNext > 0) {
      this.corruptNext -= 1;
      chunk[0] = (chunk[0] ?? 0) ^ 0xff;
    }
    response.writeHead(200, { 'content-length': chunk.length });
    response.end(chunk);
  }
}
