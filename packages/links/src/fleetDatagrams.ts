import { createSocket } from 'node:dgram';
import type { Socket, SocketOptions } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import { DatagramSchema } from '@laburnumstream/protocol';
import type {
  CrashNews,
  Datagram,
  DemandReport,
  EndpointLimits,
  EndpointReport,
  EntryLoad,
  FleetNews,
  PieceNews,
} from '@laburnumstream/protocol';
import { checkDatagram } from './datagramCheck.js';
import { DatagramOrder } from './datagramOrder.js';

const ipVersion = 4;
/** Largest part of a reason that is logged, in characters. */
const maxReasonLength = 300;

/** Content of a datagram. */
export type DatagramContent = NonNullable<MessageInitShape<typeof DatagramSchema>['content']>;

/** Source of a datagram. */
export interface DatagramSource {
  /** Name of the sending process. */
  readonly sender: string;
  /** IP of the sender. */
  readonly host: string;
}

/** Handlers by kind of datagram; a kind without a handler is ignored. */
export interface DatagramHandlers {
  fleet?(announcement: FleetNews, from: DatagramSource): void;
  report?(report: EndpointReport, from: DatagramSource): void;
  pieces?(message: PieceNews, from: DatagramSource): void;
  load?(load: EntryLoad, from: DatagramSource): void;
  crashes?(news: CrashNews, from: DatagramSource): void;
  limits?(limits: EndpointLimits, from: DatagramSource): void;
  demand?(report: DemandReport, from: DatagramSource): void;
}

function getReason(error: unknown): string {
  return toFailure(error).message.slice(0, maxReasonLength);
}

/** Resolves IP addresses to themselves at once: Node.js would defer each datagram for a look-up. */
const resolveAddress: NonNullable<SocketOptions['lookup']> = (address, _options, callback) =>
  callback(null, address, ipVersion);

/**
 * Sends and receives datagrams between the system's own processes. Drops duplicates and datagrams that
 * arrive after a later one of the same sender.
 */
export class FleetDatagrams {
  private readonly socket: Socket = createSocket({ type: 'udp4', lookup: resolveAddress });

  private readonly order = new DatagramOrder();

  private readonly startedAt: bigint;

  private sequence = 0;

  /** Port of this socket and of all others; undefined before `bind` and after the signal has fired. */
  private port: number | undefined;

  constructor(
    private readonly sender: string,
    private readonly handlers: DatagramHandlers,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {
    this.startedAt = BigInt(clock.wall());
    this.socket.on('message', (bytes, { address }) => this.receive(bytes, address));
    this.socket.on('error', (error) => {
      this.log.warn('Datagram socket failed.', { reason: error.message });
    });
  }

  /** Binds the socket until the signal fires. */
  bind(host: string, port: number, signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => {
      this.port = undefined;
      this.socket.close();
    });
    return new Promise((resolve) => {
      this.socket.bind(port, host, () => {
        this.port = this.socket.address().port;
        resolve();
      });
    });
  }

  /**
   * Sends a datagram to another process, whose socket is bound to the same port. Does nothing before
   * `bind` and after the signal has fired.
   */
  send(content: DatagramContent, host: string): void {
    this.sendAll(content, [host]);
  }

  /** Sends the same datagram to several processes, encoding it once. */
  sendAll(content: DatagramContent, hosts: readonly string[]): void {
    const { port } = this;
    if (port === undefined || hosts.length === 0) return;
    this.sequence += 1;
    const { sender, sequence, startedAt } = this;
    const bytes = this.encode({ sender, sequence, startedAt, content });
    if (!bytes) return;
    const onSent = (error: Error | null): void => {
      if (error) this.metrics.count('datagrams_not_sent');
    };
    hosts.forEach((host) => this.socket.send(bytes, port, host, onSent));
  }

  /** Encodes a datagram; returns undefined if it has a value that no datagram can carry. */
  private encode(datagram: MessageInitShape<typeof DatagramSchema>): Uint8Array | undefined {
    try {
      return toBinary(DatagramSchema, create(DatagramSchema, datagram));
    } catch (error) {
      this.metrics.count('datagrams_not_encoded');
      const { case: kind = '' } = datagram.content ?? {};
      this.log.warn('Datagram not encoded.', { kind, reason: getReason(error) });
      return undefined;
    }
  }

  private decode(bytes: Buffer, host: string): Datagram | undefined {
    try {
      const datagram = fromBinary(DatagramSchema, bytes);
      checkDatagram(datagram);
      return datagram;
    } catch (error) {
      this.metrics.count('datagrams_unreadable');
      this.log.info('Malformed datagram dropped.', { host, reason: getReason(error) });
      return undefined;
    }
  }

  private receive(bytes: Buffer, host: string): void {
    const datagram = this.decode(bytes, host);
    if (!datagram) return;
    if (!this.order.accept(datagram, this.clock.now())) {
      this.metrics.count('datagrams_late');
      return;
    }
    try {
      this.handle(datagram, host);
    } catch (error) {
      this.metrics.count('datagrams_failed');
      const { sender, content } = datagram;
      const fields = { host, sender: sender.slice(0, maxReasonLength), kind: content.case ?? '' };
      this.log.warn('Datagram not handled.', { ...fields, reason: getReason(error) });
    }
  }

  private handle({ sender, content }: Datagram, host: string): void {
    const from = { sender, host };
    if (content.case === 'fleet') this.handlers.fleet?.(content.value, from);
    else if (content.case === 'report') this.handlers.report?.(content.value, from);
    else if (content.case === 'pieces') this.handlers.pieces?.(content.value, from);
    else if (content.case === 'load') this.handlers.load?.(content.value, from);
    else if (content.case === 'crashes') this.handlers.crashes?.(content.value, from);
    else if (content.case === 'limits') this.handlers.limits?.(content.value, from);
    else if (content.case === 'demand') this.handlers.demand?.(content.value, from);
  }
}
