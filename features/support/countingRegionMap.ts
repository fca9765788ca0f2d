/** Map from data centre to region that counts its lookups. */
export class CountingRegionMap extends Map<string, string> {
  lookups = 0;

  override get(dataCentre: string): string | undefined {
    this.lookups += 1;
    return super.get(dataCentre);
  }
}
