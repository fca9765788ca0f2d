import { NotFound, Overloaded, createTimeoutSignal } from '@laburnumstream/common';
import type { Manifest } from '@laburnumstream/common';

/** One version of weights, whole or in transfer. */
export interface HeldVersion {
  readonly digest: string;
  readonly manifest: Manifest;
  /** Verified chunks by index. */
  readonly chunks: (Uint8Array | undefined)[];
  /** Number of verified chunks. */
  held: number;
  /** Whether the whole content was verified, after all chunks. */
  isVerified: boolean;
}

const retryAfterMs = 1_000;

/** Holds verified chunks in memory, within a limit. */
export class WeightStore {
  private readonly versions = new Map<string, HeldVersion>();

  private readonly waiters = new Map<string, Set<() => void>>();

  private reserved = 0;

  constructor(private readonly memoryBytes: number) {}

  /** Bytes reserved for all versions. */
  get bytes(): number {
    return this.reserved;
  }

  get digests(): readonly string[] {
    return [...this.versions.keys()];
  }

  /** Makes room for a version; throws `Overloaded` when the memory limit is reached. */
  open(digest: string, manifest: Manifest): HeldVersion {
    const known = this.versions.get(digest);
    if (known) return known;
    if (this.reserved + manifest.size > this.memoryBytes) {
      throw new Overloaded('The memory for weights is full.', retryAfterMs);
    }
    this.reserved += manifest.size;
    const chunks = new Array<Uint8Array | undefined>(manifest.chunks.length).fill(undefined);
    const version: HeldVersion = { digest, manifest, chunks, held: 0, isVerified: false };
    this.versions.set(digest, version);
    this.changed(digest);
    return version;
  }

  find(digest: string): HeldVersion | undefined {
    return this.versions.get(digest);
  }

  /** Stores a chunk that was verified against the manifest. */
  put(digest: string, index: number, bytes: Uint8Array): void {
    const version = this.versions.get(digest);
    if (!version || version.chunks[index]) return;
    version.chunks[index] = bytes;
    version.held += 1;
    this.changed(digest);
  }

  /**
   * Waits up to `waitMs` until the version is held and `condition` is true for it; throws `NotFound`
   * after that time.
   */
  async whenHeld(
    digest: string,
    waitMs: number,
    signal: AbortSignal,
    condition: (version: HeldVersion) => boolean,
  ): Promise<HeldVersion> {
    const held = (): HeldVersion | undefined => {
      const version = this.versions.get(digest);
      return version && condition(version) ? version : undefined;
    };
    const found =
      held() ?? (waitMs > 0 ? await this.wait(digest, waitMs, signal, held) : undefined);
    if (!found) throw new NotFound('This is not held here yet.');
    return found;
  }

  /** All chunks are there and the whole content matches its digest. */
  verify(digest: string, isVerified: boolean): void {
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
    held: () => HeldVersion | undefined,
  ): Promise<HeldVersion | undefined> {
    return new Promise((resolve) => {
      const waiters = this.waiters.get(digest) ?? new Set();
      this.waiters.set(digest, waiters);
      const limit = createTimeoutSignal(waitMs, signal);
      const check = (): void => {
        const found = held();
        if (!found && !limit.aborted) return;
        waiters.delete(check);
        resolve(found);
      };
      waiters.add(check);
      limit.addEventListener('abort', check, { once: true });
    });
  }

  private changed(digest: string): void {
    this.waiters.get(digest)?.forEach((check) => check());
  }
}
