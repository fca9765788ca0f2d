import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';

const pollMs = 20;
const defaultTimeoutMs = 10_000;

/** Polls a condition until it holds; fails the test after a timeout. `what` describes the condition. */
export async function eventually(
  condition: () => Promise<boolean> | boolean,
  what: string,
  timeoutMs = defaultTimeoutMs,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    assert.ok(performance.now() < deadline, `Timed out waiting until ${what}.`);
    await sleep(pollMs);
  }
}
