/** The regions of data centres, with a count of the times that one is looked up. */
export class CountedRegions extends Map<string, string> {
  lookups = 0;

  override get(dataCentre: string): string | undefined {
    this.lookups += 1;
    return super.get(dataCentre);
  }
}
