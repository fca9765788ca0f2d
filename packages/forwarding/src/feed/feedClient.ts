import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import { HistoryLost, InvalidInput, Unavailable } from '@laburnumstream/common';
import type { DatedChanges, Provenance, StoreChange, StorePosition } from '@laburnumstream/common';
import { createConnector } from '@laburnumstream/runtime';
import { Client } from 'undici';
import { FeedHeader, FeedSource, FeedStatus, feedPath } from './feedProtocol.js';
import type { FeedBody } from './feedProtocol.js';
import { transfer } from './transfer.js';
import type { TransferredResponse } from './transfer.js';

const decompress = promisify(gunzip);
const connectTimeoutMs = 300;
/** Time that a response may take beyond the wait that was asked for, in milliseconds. */
const responseGraceMs = 500;
const stallMs = 500;
/** Time in which a response must be complete, in milliseconds: a slow one may make progress without ending. */
const totalMs = 60_000;
const maxBytes = 64_000_000;
/** Largest epoch that a feed can state. */
const maxEpoch = 1e15;
/** Longest time that a feed can state, in milliseconds: a year. */
const maxAgeMs = 31_536_000_000;
/** Largest part of a reason that is kept, in characters. */
const maxReasonLength = 200;
/** Delay before an entry that can't respond is asked again, in milliseconds. */
const retryDelayMs = 1_000;

/** Changes as passed on by another entry. */
export interface RelayedChanges extends DatedChanges {
  /** Whether the other entry reads the store itself. */
  readonly isFromReader: boolean;
}

function isOptionalTime(value: unknown): boolean {
  if (value === undefined) return true;
  return typeof value === 'number' && value >= 0 && value <= maxAgeMs;
}

function isChange(value: unknown, maxRevision: number): value is StoreChange {
  const change = (value ?? {}) as Partial<StoreChange>;
  return (
    typeof change.key === 'string' &&
    (change.value === undefined || typeof change.value === 'string') &&
    isOptionalTime(change.laterMs) &&
    Number.isSafeInteger(change.revision) &&
    change.revision! <= maxRevision
  );
}

function isFeedBody(value: unknown): value is FeedBody {
  const { revision, changes } = (value ?? {}) as Partial<FeedBody>;
  return (
    Number.isSafeInteger(revision) &&
    Array.isArray(changes) &&
    changes.every((change) => isChange(change, revision!))
  );
}

/** Returns a time of a header in milliseconds; undefined if there is none that can be right. */
function readTime(value: string | string[] | undefined, minMs = 0): number | undefined {
  const time = value === undefined || value === '' ? NaN : Number(value);
  return time >= minMs && time <= maxAgeMs ? time : undefined;
}

function readProvenance({ headers }: TransferredResponse): Provenance {
  const proofAgeMs = readTime(headers[FeedHeader.proofAge]);
  const changeAgeMs = readTime(headers[FeedHeader.changeAge], -maxAgeMs);
  if (proofAgeMs === undefined || changeAgeMs === undefined)
    throw new InvalidInput('The feed does not tell its age.');
  const unseenMs = readTime(headers[FeedHeader.unseen]) ?? 0;
  const durationMs = readTime(headers[FeedHeader.outage]);
  const endedMsAgo = readTime(headers[FeedHeader.outageEnded]);
  const hasOutage = durationMs !== undefined && endedMsAgo !== undefined;
  const outage = hasOutage ? { durationMs, endedMsAgo } : undefined;
  return { proofAgeMs, changeAgeMs, unseenMs, outage };
}

/** Returns the epoch of the content; undefined where the feed tells none. */
function readEpoch({ headers }: TransferredResponse): number | undefined {
  const text = headers[FeedHeader.epoch];
  if (text === undefined) return undefined;
  const epoch = Number(text);
  if (Number.isInteger(epoch) && epoch >= 0 && epoch <= maxEpoch) return epoch;
  throw new InvalidInput('The feed tells no epoch that can be right.');
}

async function parseBody({ headers, body }: TransferredResponse): Promise<unknown> {
  const isCompressed = headers['content-encoding'] === 'gzip';
  try {
    const text = isCompressed ? await decompress(body, { maxOutputLength: maxBytes }) : body;
    return JSON.parse(text.toString('utf8'));
  } catch (error) {
    throw new InvalidInput(`The feed cannot be read: ${String(error).slice(0, maxReasonLength)}`);
  }
}

async function readBody(response: TransferredResponse): Promise<FeedBody> {
  const value = await parseBody(response);
  if (isFeedBody(value)) return value;
  throw new InvalidInput('The feed is invalid.');
}

/** How another entry is read from. */
export interface FeedQuery {
  /** Longest wait for a change, or for a proof, in milliseconds. */
  readonly waitMs: number;
  /**
   * Age of the oldest proof that is accepted, in milliseconds before the call. The other entry waits until it has one
   * and responds at once then.
   */
  readonly provenMs?: number;
}

/** Reads the store's content from another entry, over one connection. */
export class FeedClient {
  private client: Client | undefined;

  /** Whether the other entry was not ready at the last call, but was receiving the content. */
  isSourceReading = false;

  /** IP:PORT that `client` is connected to. */
  private address = '';

  /** Returns the changes after a position, or all values after revision 0. Throws a typed failure. */
  read(
    address: string,
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<RelayedChanges> {
    return this.ask(address, after, { waitMs }, signal);
  }

  /** Like `read`, with the age of an acceptable proof; throws `Unavailable` if the other entry is not ready. */
  async ask(
    address: string,
    after: StorePosition,
    { waitMs, provenMs }: FeedQuery,
    signal?: AbortSignal,
  ): Promise<RelayedChanges> {
    const client = this.connect(address);
    const query = new URLSearchParams({ after: String(after.revision), waitMs: String(waitMs) });
    if (after.epoch !== undefined) query.set('epoch', String(after.epoch));
    if (provenMs !== undefined) query.set('provenMs', String(Math.floor(provenMs)));
    const path = `${feedPath}?${query}`;
    const limits = { firstMs: waitMs + responseGraceMs, stallMs, totalMs, maxBytes };
    try {
      const response = await transfer(client, { method: 'GET', path }, limits, signal);
      this.isSourceReading = response.headers[FeedHeader.reading] !== undefined;
      if (response.status === FeedStatus.historyLost) throw new HistoryLost(path);
      if (response.status !== FeedStatus.ok)
        throw new Unavailable(`${address} responded with ${response.status}.`, retryDelayMs);
      const { revision, changes } = await readBody(response);
      const isFromReader = response.headers[FeedHeader.source] === FeedSource.store;
      const epoch = readEpoch(response);
      return { revision, epoch, changes, provenance: readProvenance(response), isFromReader };
    } catch (error) {
      if (!(error instanceof HistoryLost || error instanceof Unavailable)) this.close();
      throw error;
    }
  }

  /** Closes the connection. */
  close(): void {
    this.isSourceReading = false;
    void this.client?.destroy();
    this.client = undefined;
  }

  private connect(address: string): Client {
    if (!this.client || this.address !== address) {
      this.close();
      this.address = address;
      this.client = new Client(`http://${address}`, { connect: createConnector(connectTimeoutMs) });
    }
    return this.client;
  }
}
