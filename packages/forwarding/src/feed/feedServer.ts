import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { gzip } from 'node:zlib';
import type {
  DatedChanges,
  Log,
  SleepAwareClock,
  StoreChanges,
  StorePosition,
} from '@laburnumstream/common';
import { Notifier, createBoundedServer } from '@laburnumstream/runtime';
import { FeedHeader, FeedStatus, feedPath } from './feedProtocol.js';
import type { FeedBody, FeedSource } from './feedProtocol.js';
import type { StoreMirror } from './storeMirror.js';

const compress = promisify(gzip);
/** Whole numbers without a sign. */
const wholeNumber = /^\d{1,15}$/;
/** Size of a response from which it is compressed, in bytes. */
const minCompressedBytes = 8_192;
const compressionLevel = 1;
/** Silence of the store from which this entry is no source for others, in milliseconds. */
const maxSilenceMs = 1_100;
/** Longest time that a follower may ask to wait, in milliseconds. */
const maxWaitMs = 2_000;
/** Bounds of the server: it has one follower for each other entry of its region, with one call at a time. */
const bounds = { maxConnections: 128, maxPipelined: 2 };

interface EncodedBody {
  readonly bytes: Buffer;
  readonly isCompressed: boolean;
}

async function encodeBody(body: FeedBody): Promise<EncodedBody> {
  const bytes = Buffer.from(JSON.stringify(body));
  if (bytes.length < minCompressedBytes) return { bytes, isCompressed: false };
  return { bytes: await compress(bytes, { level: compressionLevel }), isCompressed: true };
}

/** Returns the position that a follower asks from; undefined if there is none that can be right. */
function readPosition(query: URLSearchParams): StorePosition | undefined {
  const revision = Number(query.get('after'));
  const epoch = query.get('epoch');
  if (!Number.isInteger(revision) || (epoch !== null && !wholeNumber.test(epoch))) return undefined;
  return { revision, epoch: epoch === null ? undefined : Number(epoch) };
}

/** Serves the mirror of the store to its followers: other entries of the region. */
export class FeedServer {
  private readonly changed = new Notifier();

  private readonly server: Server;

  /** The last encoded response: after a change, most followers ask for the same. */
  private lastEncoded: { readonly key: string; readonly body: Promise<EncodedBody> } | undefined;

  constructor(
    private readonly mirror: StoreMirror,
    private readonly proofClock: SleepAwareClock,
    /** Returns the time for which the store owes a response to this entry, in milliseconds. */
    private readonly getSilenceMs: () => number,
    /** Returns where this entry reads from. */
    private readonly getSource: () => FeedSource,
    private readonly log: Log,
    /** Called for each connection that is closed because of a bound. */
    onClose: () => void = () => log.info('Connection closed at a bound of the feed.'),
  ) {
    this.server = createBoundedServer(
      (request, response) => {
        this.handle(request, response).catch((error: unknown) => {
          this.log.info('Feed not sent.', { reason: String(error) });
          response.destroy();
        });
      },
      bounds,
      onClose,
    );
  }

  /**
   * Listens until the signal fires; resolves when the socket is bound. If that fails, other entries read
   * from the store instead.
   */
  listen(host: string, port: number, signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => {
      this.server.close();
      this.server.closeAllConnections();
    });
    return new Promise((resolve) => {
      this.server.once('error', (error) => {
        this.log.warn('The feed is not served.', { reason: String(error) });
        resolve();
      });
      this.server.listen(port, host, () => resolve());
    });
  }

  /** Wakes the followers that wait for a change. */
  notifyChange(): void {
    this.changed.notify();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const calledAt = this.proofClock.now();
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://feed');
    const after = readPosition(searchParams);
    const waitMs = Math.min(maxWaitMs, Number(searchParams.get('waitMs')));
    const provenMs = Number(searchParams.get('provenMs') ?? Infinity);
    if (pathname !== feedPath || !after || !(waitMs >= 0) || !(provenMs >= 0)) {
      FeedServer.sendEmpty(response, FeedStatus.invalid);
      return;
    }
    const provenSince = calledAt - provenMs;
    if (provenMs < Infinity) await this.waitForProof(provenSince, waitMs, response);
    else await this.waitForChange(after, waitMs, response);
    const content = this.mirror.readAfter(after, calledAt, this.proofClock.now());
    if (!this.isReady(provenSince) || this.mirror.isBehind(after)) this.sendNotReady(response);
    else if (!content) FeedServer.sendEmpty(response, FeedStatus.historyLost);
    else await this.send(response, after.revision, content);
  }

  /** Whether others may read here: a proof that a follower has asked for counts more than the silence since. */
  private isReady(provenSince: number): boolean {
    if (this.mirror.position === undefined) return false;
    if (provenSince > -Infinity) return this.mirror.isConfirmedSince(provenSince);
    return this.getSilenceMs() <= maxSilenceMs;
  }

  /** Waits for the end of an outage: a follower that has no proof needs one more than a change. */
  private async waitForProof(
    provenSince: number,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const endAt = this.proofClock.now() + waitMs;
    for (let leftMs = waitMs; leftMs > 0; leftMs = endAt - this.proofClock.now()) {
      if (this.mirror.isConfirmedSince(provenSince)) return;
      await this.changed.wait(leftMs, closed.signal);
    }
  }

  private async waitForChange(
    after: StorePosition,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    const { position } = this.mirror;
    if (!position || after.revision === 0 || this.mirror.hasChangesAfter(after)) return;
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const calledAt = this.proofClock.now();
    const endAt = calledAt + waitMs;
    const isOld = !this.mirror.isConfirmedSince(calledAt - maxSilenceMs);
    // The wait ends when the store falls silent, so that followers find another source soon, and with a proof that they
    // could not have before.
    for (let leftMs = waitMs; leftMs > 0; leftMs = endAt - this.proofClock.now()) {
      const untilSilentMs = maxSilenceMs - this.getSilenceMs();
      if (untilSilentMs < 0) return;
      await this.changed.wait(Math.min(leftMs, untilSilentMs + 1), closed.signal);
      const isProven = isOld && this.mirror.isConfirmedSince(calledAt - maxSilenceMs);
      if (isProven || this.mirror.hasChangesAfter(after)) return;
    }
  }

  private async send(
    response: ServerResponse,
    after: number,
    { changes, revision, epoch, provenance }: DatedChanges,
  ): Promise<void> {
    const { proofAgeMs, changeAgeMs, unseenMs, outage } = provenance;
    const { bytes, isCompressed } = await this.encode(after, { revision, epoch, changes });
    response.writeHead(FeedStatus.ok, {
      'content-length': bytes.length,
      [FeedHeader.source]: this.getSource(),
      ...(epoch !== undefined && { [FeedHeader.epoch]: epoch }),
      [FeedHeader.proofAge]: Math.ceil(proofAgeMs),
      [FeedHeader.changeAge]: Math.ceil(changeAgeMs),
      ...(unseenMs > 0 && { [FeedHeader.unseen]: Math.ceil(unseenMs) }),
      ...(outage && {
        [FeedHeader.outage]: Math.round(outage.durationMs),
        [FeedHeader.outageEnded]: Math.round(outage.endedMsAgo),
      }),
      ...(isCompressed && { 'content-encoding': 'gzip' }),
    });
    response.end(bytes);
  }

  private encode(after: number, { epoch, ...body }: StoreChanges): Promise<EncodedBody> {
    const key = `${after} ${body.revision} ${epoch}`;
    if (this.lastEncoded?.key !== key) this.lastEncoded = { key, body: encodeBody(body) };
    return this.lastEncoded.body;
  }

  private sendNotReady(response: ServerResponse): void {
    const silenceMs = this.getSilenceMs();
    // With a call in progress, the store has not been silent for long.
    if (silenceMs > 0 && silenceMs <= maxSilenceMs) response.setHeader(FeedHeader.reading, '1');
    FeedServer.sendEmpty(response, FeedStatus.notReady);
  }

  private static sendEmpty(response: ServerResponse, status: number): void {
    response.writeHead(status, { 'content-length': '0' });
    response.end();
  }
}
