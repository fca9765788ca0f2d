const entryStart = 'test: ';

/** Parses KNOWN-RED.txt; returns the scenarios that it lists, as "FEATURE: SCENARIO". */
export function readKnownRed(text: string): string[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith(entryStart))
    .map((line) => line.slice(entryStart.length).trim());
}
