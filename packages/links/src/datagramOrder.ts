import type { Datagram } from '@laburnumstream/protocol';

/** The last accepted datagram of a sender. */
interface LastDatagram {
  readonly startedAt: bigint;
  readonly sequence: number;
  /** Monotonic time, in milliseconds. */
  readonly receivedAt: number;
}

/**
 * Time without a datagram after which any datagram of a sender is accepted, even with an earlier start,
 * in milliseconds.
 */
const senderTimeoutMs = 3_000;

/** Recognises duplicates and datagrams that arrive after a later one of the same sender. */
export class DatagramOrder {
  private readonly lastDatagrams = new Map<string, LastDatagram>();

  /** Monotonic time at which silent senders were last forgotten, in milliseconds. */
  private forgotAt = -Infinity;

  /** Number of senders that are remembered. */
  get size(): number {
    return this.lastDatagrams.size;
  }

  /** Records a datagram received at `receivedAt`; returns whether it is neither late nor a duplicate. */
  accept(
    { sender, sequence, startedAt }: Pick<Datagram, 'sender' | 'sequence' | 'startedAt'>,
    receivedAt: number,
  ): boolean {
    if (receivedAt - this.forgotAt >= senderTimeoutMs) this.forgetSilent(receivedAt);
    const last = this.lastDatagrams.get(sender);
    const isLate =
      last !== undefined &&
      receivedAt - last.receivedAt < senderTimeoutMs &&
      (startedAt < last.startedAt || (startedAt === last.startedAt && sequence <= last.sequence));
    if (!isLate) this.lastDatagrams.set(sender, { startedAt, sequence, receivedAt });
    return !isLate;
  }

  /** Forgets senders whose last datagram no longer affects which ones are accepted. */
  private forgetSilent(now: number): void {
    this.forgotAt = now;
    this.lastDatagrams.forEach(({ receivedAt }, sender) => {
      if (now - receivedAt >= senderTimeoutMs) this.lastDatagrams.delete(sender);
    });
  }
}
