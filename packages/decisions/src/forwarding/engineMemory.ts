import type { EngineProfile } from '@laburnumstream/common';
import type { EndpointLoad } from './endpointLoad.js';

/**
 * Parts of an engine's key-value cache that the entries of its region, and those of other regions, fill. Reports
 * are on their way while requests are placed, and entries of other regions hear only of numbers of requests.
 */
const usableParts = { local: 0.75, remote: 0.25 } as const;

/** Size of a request as its caller states it. */
export interface RequestTokens {
  readonly promptTokens?: number | undefined;
  readonly maxOutputTokens?: number | undefined;
  readonly expectedOutputTokens?: number | undefined;
}

/** Keeps the requests at an engine within its key-value cache; an engine that runs out of it crashes. */
export class EngineMemory {
  private readonly typicalTokens: number;

  constructor(private readonly profile: EngineProfile) {
    this.typicalTokens = profile.typicalPromptTokens + profile.typicalOutputTokens;
  }

  /** Tokens that a request holds at its end, at most. */
  neededTokens({ promptTokens = 0, maxOutputTokens, expectedOutputTokens }: RequestTokens): number {
    return (
      promptTokens + (maxOutputTokens ?? expectedOutputTokens ?? this.profile.typicalOutputTokens)
    );
  }

  /** Whether an empty engine can hold a request. */
  canHold(tokens: number): boolean {
    return this.isUnlimited || tokens <= this.profile.kvCacheTokens;
  }

  /** Whether a request fits beside those that are at the engine. */
  fits(load: EndpointLoad, tokens: number, isLocal: boolean, now: number): boolean {
    if (this.isUnlimited) return true;
    const part = isLocal ? usableParts.local : usableParts.remote;
    const { kvCacheTokens } = this.profile;
    if (this.heldTokens(load, now) + tokens <= kvCacheTokens * part) return true;
    // A request that is larger than the part is served by an engine that is empty as far as is known.
    return isLocal && load.outstanding(now) === 0 && this.canHold(tokens);
  }

  /** Tokens that the requests at the engine hold and may still need, as far as is known. */
  heldTokens(load: EndpointLoad, now: number): number {
    return load.heldTokens(this.typicalTokens, now);
  }

  /** Profiles may state no size. */
  private get isUnlimited(): boolean {
    return this.profile.kvCacheTokens <= 0;
  }
}
