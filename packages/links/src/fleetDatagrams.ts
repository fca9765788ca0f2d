import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { toFailure } from '@laburnumstream/common';
import type { Clock, Log, Metrics } from '@laburnumstream/common';
import { DatagramSchema } from '@laburnumstream/protocol';
import type {
  Datagram,
  EndpointReport,
  EntryLoad,
  FleetNews,
  PieceNews,
} from '@laburnumstream/protocol';

/** What a datagram carries. */
export type DatagramContent = NonNullable<MessageInitShape<typeof DatagramSchema>['content']>;

/** Where a datagram comes from. */
export interface DatagramOrigin {
  /** Name of the sending process. */
  readonly sender: string;
  /** IP */
  readonly host: string;
}

/** What is done with each kind of datagram. */
export interface DatagramHandlers {
  fleet?(news: FleetNews, from: DatagramOrigin): void;
  report?(report: EndpointReport, from: DatagramOrigin): void;
  pieces?(news: PieceNews, from: DatagramOrigin): void;
  load?(load: EntryLoad, from: DatagramOrigin): void;
}

/** The last datagram of a sender. */
interface Heard {
  readonly startedAt: bigint;
  readonly sequence: number;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}

/** Silence after which a sender may begin again with an earlier start, in milliseconds. */
const forgetMs = 3_000;

/** Sends and receives the datagrams between the system's own processes; drops late ones. */
export class FleetDatagrams {
  private readonly socket: Socket = createSocket('udp4');

  private readonly heard = new Map<string, Heard>();

  private readonly startedAt: bigint;

  private sequence = 0;

  /** Port of the own socket and of all others; undefined before `bind`. */
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

  /** Binds the socket, which closes when the signal fires. */
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

  /** Sends to another process, whose socket is bound to the same port; nothing before `bind` and after its end. */
  send(content: DatagramContent, host: string): void {
    this.sendAll(content, [host]);
  }

  /** Sends the same to several processes; it is encoded once. */
  sendAll(content: DatagramContent, hosts: readonly string[]): void {
    const { port } = this;
    if (port === undefined || hosts.length === 0) return;
    this.sequence += 1;
    const { sender, sequence, startedAt } = this;
    const bytes = toBinary(
      DatagramSchema,
      create(DatagramSchema, { sender, sequence, startedAt, content }),
    );
    const noteFailure = (error: Error | null): void => {
      if (error) this.metrics.count('datagrams_not_sent');
    };
    hosts.forEach((host) => this.socket.send(bytes, port, host, noteFailure));
  }

  private receive(bytes: Buffer, host: string): void {
    let datagram: Datagram;
    try {
      datagram = fromBinary(DatagramSchema, bytes);
    } catch (error) {
      this.metrics.count('datagrams_unreadable');
      this.log.debug('Datagram not readable.', { host, reason: toFailure(error).message });
      return;
    }
    if (!this.isNew(datagram)) {
      this.metrics.count('datagrams_late');
      return;
    }
    const from = { sender: datagram.sender, host };
    const { content } = datagram;
    if (content.case === 'fleet') this.handlers.fleet?.(content.value, from);
    else if (content.case === 'report') this.handlers.report?.(content.value, from);
    else if (content.case === 'pieces') this.handlers.pieces?.(content.value, from);
    else if (content.case === 'load') this.handlers.load?.(content.value, from);
  }

  private isNew({ sender, sequence, startedAt }: Datagram): boolean {
    const known = this.heard.get(sender);
    const at = this.clock.now();
    const isLate =
      known !== undefined &&
      at - known.at < forgetMs &&
      (startedAt < known.startedAt ||
        (startedAt === known.startedAt && sequence <= known.sequence));
    if (!isLate) this.heard.set(sender, { startedAt, sequence, at });
    return !isLate;
  }
}
