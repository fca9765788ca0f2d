/** A row of docs/PROOF.md. */
export interface ProofRow {
  readonly point: string;
  readonly mechanism: string;
  /** Source files of the mechanism, relative to the root of the repository. */
  readonly files: readonly string[];
  /** Scenarios, as "FEATURE: SCENARIO". */
  readonly tests: readonly string[];
  readonly failedFirst: string;
  /** Names of the benches that measure `figure`. */
  readonly benches: readonly string[];
  readonly figure: string;
  readonly state: string;
}

/** Allowed values of `ProofRow.state`. */
export const proofStates: readonly string[] = ['proved', 'partly', 'not proved'];

const columns = 8;

function splitCell(cell: string): string[] {
  return cell
    .split('<br>')
    .map((item) => item.trim().replace(/^`|`$/g, ''))
    .filter((item) => item !== '' && item !== '-');
}

/** Parses the tables of docs/PROOF.md. */
export function parseProofRows(text: string): ProofRow[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith('|') && !/^\|[\s|-]+\|$/.test(line))
    .map((line) =>
      line
        .slice(1, -1)
        .split('|')
        .map((cell) => cell.trim()),
    )
    .filter((cells) => cells.length === columns && cells[0] !== 'point')
    .map(([point, mechanism, files, tests, failedFirst, benches, figure, state]) => ({
      point: point!,
      mechanism: mechanism!,
      files: splitCell(files!),
      tests: splitCell(tests!),
      failedFirst: failedFirst!,
      benches: splitCell(benches!),
      figure: figure!,
      state: state!,
    }));
}
