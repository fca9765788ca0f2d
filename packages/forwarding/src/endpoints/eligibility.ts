/** What makes an endpoint eligible for a request, apart from free capacity. */
export interface Eligibility {
  /** Lists of regions that may serve it; an empty list allows all. */
  readonly homeRegions: readonly (readonly string[])[];
  /** Ids of endpoints that must not get it now, as they were tried before. */
  readonly tried: Pick<ReadonlySet<string>, 'has' | 'size'>;
  /** Whether an engine must have shown a sign of life lately, as another one has refused the request without weights. */
  readonly needsProof?: boolean;
}
