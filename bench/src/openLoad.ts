import { setTimeout as sleep } from 'node:timers/promises';

const secondMs = 1_000;

/** Open-loop load: starts `count` operations at a constant rate and waits for all of them. */
export async function runOpenLoad<Result>(
  perSecond: number,
  count: number,
  operation: (index: number) => Promise<Result>,
): Promise<Result[]> {
  const started = performance.now();
  const running: Promise<Result>[] = [];
  for (let index = 0; index < count; index += 1) {
    const dueAt = started + (index / perSecond) * secondMs;
    const wait = dueAt - performance.now();
    if (wait > 0) await sleep(wait);
    running.push(operation(index));
  }
  return Promise.all(running);
}
