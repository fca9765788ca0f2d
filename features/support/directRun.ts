import { LinkPool, RunSessions, Secrets } from '@laburnumstream/links';
import type { Refusal } from '@laburnumstream/protocol';
import { internalSecret } from '@laburnumstream/bench';

const linkAgeMs = 60_000;

/**
 * Sends a request directly to an agent, bypassing the entries' routing and admission control, so
 * that a test sees the agent's own checks.
 */
export async function directRun(
  address: string,
  service: string,
  secret = internalSecret,
): Promise<{ tokens: number; refusal?: Refusal }> {
  const abort = new AbortController();
  const now = (): number => performance.now();
  const links = new LinkPool(new Secrets([secret]), linkAgeMs, now, abort.signal);
  const sessions = new RunSessions(links, abort.signal);
  const message = {
    id: `direct-${now()}`,
    attempt: 1,
    workspace: 'workspace-0',
    service,
    work: { case: 'generation' as const, value: { prompt: 'direct', maxTokens: 4, adapter: '' } },
  };
  let tokens = 0;
  try {
    for await (const { content } of sessions.run(address, message, abort.signal)) {
      if (content.case === 'tokens') tokens += content.value.texts.length;
      if (content.case === 'refusal') return { tokens, refusal: content.value };
    }
    return { tokens };
  } finally {
    abort.abort();
  }
}
