import { setTimeout as sleep } from 'node:timers/promises';
import type { Invocation } from '../command.js';

const pollMs = 500;
const secondMs = 1_000;

function formatTimeLeft(leftMs: number | undefined): string {
  return leftMs === undefined ? '' : `, ${Math.ceil(leftMs / secondMs)} s left`;
}

/** Progress of a roll-out, as returned by the administration API. */
interface Progress {
  readonly version: string;
  readonly endpoints: number;
  readonly done: number;
  readonly stopped?: string;
  readonly timeLeftMs?: number;
}

/** Waits until a roll-out ends; shows its progress if standard error is a terminal. */
export async function waitForRollOut({ client }: Invocation, model: string): Promise<unknown> {
  let progress: Progress;
  do {
    progress = (await client.call('GET', `roll-outs/${model}`)) as Progress;
    const { done, endpoints, version, timeLeftMs } = progress;
    if (process.stderr.isTTY) {
      const text = `${model} ${version}: ${done} of ${endpoints} endpoints`;
      process.stderr.write(`\r${text}${formatTimeLeft(timeLeftMs)}`);
    }
    if (done < endpoints || endpoints === 0) await sleep(pollMs);
  } while (!progress.stopped && (progress.done < progress.endpoints || progress.endpoints === 0));
  if (process.stderr.isTTY) process.stderr.write('\n');
  return progress;
}
