import { NotFound, Overloaded, createTimeoutSignal } from '@laburnumstream/common';
import type { Manifest } from '@laburnumstream/common';

/** One version of weights, complete or in transfer. */
export interface StoredVersion {
  readonly digest: string;
  readonly manifest: Manifest;
  /** Verified chunks by index. */
  readonly chunks: (Uint8Array | undefined)[];
  /** Number of verified chunks. */
  verifiedCount: number;
  /** Whether the digest of the complete content was verified. */
  isVerified: boolean;
}

const retryAfterMs = 1_000;

/** Keeps verified chunks in memory, within a limit. */
export class WeightStore {
  private readonly versions = new Map<string, StoredVersion>();

  private readonly waiters = new Map<string, Set<() => void>>();

  private reserved = 0;

  constructor(private readonly memoryBytes: number) {}

  /** Bytes reserved for all versions. */
  get reservedBytes(): number {
    return this.reserved;
  }

  get digests(): readonly string[] {
    return [...this.versions.keys()];
  }

  /** Reserves memory for a version; throws `Overloaded` when the limit is reached. */
  reserve(digest: string, manifest: Manifest): StoredVersion {
    const existing = this.versions.get(digest);
    if (existing) return existing;
    if (this.reserved + manifest.size > this.memoryBytes) {
      throw new Overloaded('The memory for weights is full.', retryAfterMs);
    }
    this.reserved += manifest.size;
    const chunks = new Array<Uint8Array | undefined>(manifest.chunks.length).fill(undefined);
    const version: StoredVersion = {
      digest,
      manifest,
      chunks,
      verifiedCount: 0,
      isVerified: false,
    };
    this.versions.set(digest, version);
    this.notifyWaiters(digest);
    return version;
  }

  find(digest: string): StoredVersion | undefined {
    return this.versions.get(digest);
  }

  /** Stores a chunk that was verified against the manifest. */
  put(digest: string, index: number, bytes: Uint8Array): void {
    const version = this.versions.get(digest);
    if (!version || version.chunks[index]) return;
    version.chunks[index] = bytes;
    version.verifiedCount += 1;
    this.notifyWaiters(digest);
  }

  /**
   * Waits up to `waitMs` until the version is stored and satisfies `condition`; throws `NotFound`
   * on timeout.
   */
  async waitFor(
    digest: string,
    waitMs: number,
    signal: AbortSignal,
    condition: (version: StoredVersion) => boolean,
  ): Promise<StoredVersion> {
    const match = (): StoredVersion | undefined => {
      const version = this.versions.get(digest);
      return version && condition(version) ? version : undefined;
    };
    const found =
      match() ?? (waitMs > 0 ? await this.wait(digest, waitMs, signal, match) : undefined);
    if (!found) throw new NotFound('This is not held here yet.');
    return found;
  }

  /** Records whether the complete content matches its digest; a mismatch removes the version. */
  setVerified(digest: string, isVerified: boolean): void {
    const version = this.versions.get(digest);
    if (version) version.isVerified = isVerified;
    if (!isVerified) this.remove(digest);
  }

  remove(digest: string): void {
    const version = this.versions.get(digest);
    if (!version) return;
    this.versions.delete(digest);
    this.reserved -= version.manifest.size;
  }

  private wait(
    digest: string,
    waitMs: number,
    signal: AbortSignal,
    match: () => StoredVersion | undefined,
  ): Promise<StoredVersion | undefined> {
    return new Promise((resolve) => {
      const waiters = this.waiters.get(digest) ?? new Set();
      this.waiters.set(digest, waiters);
      const timeoutSignal = createTimeoutSignal(waitMs, signal);
      const check = (): void => {
        const found = match();
        if (!found && !timeoutSignal.aborted) return;
        waiters.delete(check);
        resolve(found);
      };
      waiters.add(check);
      timeoutSignal.addEventListener('abort', check, { once: true });
    });
  }

  private notifyWaiters(digest: string): void {
    this.waiters.get(digest)?.forEach((check) => check());
  }
}
