/** An instance that holds or receives weights. */
export interface WeightMember {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
}
