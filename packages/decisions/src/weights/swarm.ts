import type { Random } from '@laburnumstream/common';
import { origin } from './sources.js';
import type { WeightSource } from './sources.js';
import type { WeightMember } from './weightMember.js';
import { FetchFault } from './transfer.js';
import type { ChunkFetch, ChunkTransfer } from './transfer.js';

/** A neighbour in a swarm and the chunks that it held at the last exchange. */
export interface SwarmNeighbour {
  readonly member: WeightMember;
  readonly held: Uint8Array;
}

const maxActiveFetches = 8;
const fetchTimeoutMs = 3_000;

/**
 * A plain rarest-first swarm, the baseline for the tree schemes: each member fetches the chunk held
 * by the fewest of its neighbours from one of them. Only a few seeds fetch from the origin.
 */
export class SwarmTransfer implements ChunkTransfer {
  readonly held: Uint8Array;

  private heldCount = 0;

  private readonly active = new Map<number, ChunkFetch>();

  private readonly avoided = new Set<string>();

  constructor(
    private readonly chunks: number,
    private readonly neighbours: readonly SwarmNeighbour[],
    private readonly isSeed: boolean,
    private readonly random: Random,
  ) {
    this.held = new Uint8Array(chunks);
  }

  get isComplete(): boolean {
    return this.heldCount === this.chunks;
  }

  startFetches(now: number): ChunkFetch[] {
    const fetches: ChunkFetch[] = [];
    while (this.active.size < maxActiveFetches) {
      const fetch = this.nextFetch(now);
      if (!fetch) break;
      this.active.set(fetch.chunk, fetch);
      fetches.push(fetch);
    }
    return fetches;
  }

  hedgeFetches(now: number): ChunkFetch[] {
    [...this.active.values()]
      .filter(({ startedAt }) => now - startedAt > fetchTimeoutMs)
      .forEach((fetch) => this.fetchFailed(fetch, FetchFault.unreachable));
    return this.startFetches(now);
  }

  fetchSucceeded(fetch: ChunkFetch): readonly ChunkFetch[] {
    this.active.delete(fetch.chunk);
    if (!this.held[fetch.chunk]) {
      this.held[fetch.chunk] = 1;
      this.heldCount += 1;
    }
    return [];
  }

  fetchFailed({ chunk, source }: ChunkFetch, fault: FetchFault): void {
    this.active.delete(chunk);
    if (fault === FetchFault.unreachable && source !== origin) this.avoided.add(source.name);
  }

  private nextFetch(now: number): ChunkFetch | undefined {
    const usable = this.neighbours.filter(({ member }) => !this.avoided.has(member.name));
    let best = -1;
    let fewestHolders = Infinity;
    const first = Math.floor(this.random.next() * this.chunks);
    for (let step = 0; step < this.chunks; step += 1) {
      const chunk = (first + step) % this.chunks;
      if (this.held[chunk] || this.active.has(chunk)) continue;
      const holders = usable.reduce((sum, { held }) => sum + held[chunk]!, 0);
      const fetchable = holders > 0 || this.isSeed;
      if (fetchable && holders < fewestHolders) {
        best = chunk;
        fewestHolders = holders;
      }
    }
    return best < 0
      ? undefined
      : { chunk: best, source: this.chooseSource(best, usable), startedAt: now };
  }

  private chooseSource(chunk: number, usable: readonly SwarmNeighbour[]): WeightSource {
    const holders = usable.filter(({ held }) => held[chunk]);
    const chosen = holders[Math.floor(this.random.next() * holders.length)];
    return chosen?.member ?? origin;
  }
}
