import type { ServiceProfile } from '@laburnumstream/common';

/** A class of requests to the engines that all classes share. */
export interface CompetingClass {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly perSecond: number;
  readonly meanPromptTokens: number;
  readonly meanEvents: number;
  readonly goalMs: number;
  /** Value of a response whose first event is in time, and of a late one. */
  readonly value: number;
  readonly lateValue: number;
}

/** Classes of deployment A, with the rates of all regions together (docs/design/load-and-recovery.md). */
export const competingClasses: readonly CompetingClass[] = [
  {
    priority: 0,
    perSecond: 119,
    meanPromptTokens: 1_330,
    meanEvents: 21,
    goalMs: 402,
    value: 3.7,
    lateValue: 0.37,
  },
  {
    priority: 1,
    perSecond: 143,
    meanPromptTokens: 827,
    meanEvents: 21,
    goalMs: 402,
    value: 1.7,
    lateValue: 0.42,
  },
  {
    priority: 2,
    perSecond: 101,
    meanPromptTokens: 647,
    meanEvents: 10,
    goalMs: 802,
    value: 0.51,
    lateValue: 0.19,
  },
];

/** Engine timing of deployment A. */
export const competingProfile: ServiceProfile = {
  name: 'model',
  healthPath: '/health',
  maxConnections: 4_000,
  coldRequestsPerSecond: 0,
  origin: undefined,
  engine: {
    slots: 12,
    kvCacheTokens: 1_640_000,
    stepsPerPass: 7,
    stepMs: 6.73,
    stepMsPerSequence: 0.0219,
    stepMsPerThousandTokens: 0.0068,
    prefillTokensPerSecond: 30_600,
    prefillMsPerMillionPairs: 0,
    prefillChunkTokens: 2_048,
    typicalPromptTokens: 942,
    typicalOutputTokens: 126,
    layers: 16,
    chunks: 48,
    chunkBytes: 49_152,
    models: [{ name: 'm', loadMs: 300 }],
  },
};
