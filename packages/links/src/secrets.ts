import { timingSafeEqual } from 'node:crypto';

function constantTimeEqual(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}

/** Shared secrets of the system's own processes: the first one is sent, all are accepted. */
export class Secrets {
  constructor(private accepted: readonly string[]) {}

  /** The secret that is sent with calls. */
  get outgoing(): string {
    return this.accepted[0] ?? '';
  }

  accepts(received: string): boolean {
    return this.accepted.some((secret) => constantTimeEqual(secret, received));
  }

  /** Replaces the secrets, also for calls on open connections. */
  replace(secrets: readonly string[]): void {
    this.accepted = secrets;
  }
}
