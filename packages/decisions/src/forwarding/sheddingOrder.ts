/** What one connection of a caller holds. */
export interface MemoryHolder {
  readonly bytes: number;
  /** Time since the connection last completed a body or a response, in any unit. */
  readonly stalledFor: number;
  /** The workspace that holds it, if known. */
  readonly workspace: string | undefined;
}

/**
 * Selects what is shed to release `excessBytes`: first what holds the most for the longest time without progress.
 * What a workspace holds in total counts, too, so that a workspace that holds little is kept longest.
 */
export function selectShed<Holder extends MemoryHolder>(
  holders: Iterable<Holder>,
  excessBytes: number,
): Holder[] {
  const holding = [...holders].filter(({ bytes }) => bytes > 0);
  const byWorkspace = new Map<string | undefined, number>();
  holding.forEach(({ workspace, bytes }) =>
    byWorkspace.set(workspace, (byWorkspace.get(workspace) ?? 0) + bytes),
  );
  const weigh = ({ bytes, stalledFor, workspace }: MemoryHolder): number =>
    bytes * (1 + stalledFor) * byWorkspace.get(workspace)!;
  const weighed = holding.map((holder) => ({ holder, weight: weigh(holder) }));
  weighed.sort((one, other) => other.weight - one.weight);
  let left = excessBytes;
  const shed: Holder[] = [];
  weighed.forEach(({ holder }) => {
    if (left <= 0) return;
    left -= holder.bytes;
    shed.push(holder);
  });
  return shed;
}
