import type { Clock, Log } from '@laburnumstream/common';
import { toDatagramNumber } from '@laburnumstream/links';
import type { FleetDatagrams } from '@laburnumstream/links';
import type { EndpointLimits } from '@laburnumstream/protocol';
import type { EndpointDirectory } from '../endpoints/endpointDirectory.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { EntryPeers } from './entryPeers.js';

/** Time for which this entry repeats what an endpoint has said of its limit, in milliseconds. */
const repeatMs = 4_000;
/** Maximum number of limits in one datagram, so that it fits a packet. */
const maxLimitsPerDatagram = 20;
const milli = 1_000;

/** Tells other entries the limits that endpoints name: only a few of them send there and hear it. */
export class LimitExchange {
  /** Incarnations of endpoints that have named a limit, by the time of what this entry heard last itself. */
  private readonly heardAt = new Map<string, number>();

  constructor(
    private readonly peers: EntryPeers,
    private readonly directory: EndpointDirectory,
    private readonly datagrams: FleetDatagrams,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Records that a response of an endpoint named a limit, or none. */
  recordResponse(handle: EndpointHandle, perSecond: number | undefined): void {
    const now = this.clock.now();
    const { incarnation, namedLimit } = handle;
    const isChange = namedLimit.update(perSecond, now);
    if (perSecond !== undefined || isChange) this.heardAt.set(incarnation, now);
    else if (this.heardAt.has(incarnation)) this.heardAt.set(incarnation, now);
    if (!isChange) return;
    this.logChange(handle, null);
    this.send([handle]);
  }

  /** Repeats what this entry has heard lately. */
  repeat(): void {
    const now = this.clock.now();
    this.heardAt.forEach((at, incarnation) => {
      if (now - at > repeatMs) this.heardAt.delete(incarnation);
    });
    this.send([...this.directory.all].filter(({ incarnation }) => this.heardAt.has(incarnation)));
  }

  /** Applies what another entry has heard; returns the endpoints whose limits have changed. */
  receive({ limits }: EndpointLimits, sender: string): EndpointHandle[] {
    const now = this.clock.now();
    return limits.flatMap(({ endpoint, milliPerSecond, msAgo }) => {
      const handle = this.directory.findIncarnation(endpoint);
      const perSecond = milliPerSecond === undefined ? undefined : milliPerSecond / milli;
      if (!handle?.namedLimit.update(perSecond, now - msAgo)) return [];
      this.logChange(handle, sender);
      return [handle];
    });
  }

  /** Logs a change that this entry has heard from the endpoint itself, or from another entry. */
  private logChange({ id, namedLimit }: EndpointHandle, from: string | null): void {
    const perSecond = namedLimit.perSecond(this.clock.now()) ?? null;
    this.log.info('Endpoint named another limit.', { endpoint: id, perSecond, from });
  }

  private send(handles: readonly EndpointHandle[]): void {
    const now = this.clock.now();
    const { hosts } = this.peers;
    const limits = handles.map(({ incarnation, namedLimit }) => {
      const perSecond = namedLimit.perSecond(now);
      const msAgo = toDatagramNumber(namedLimit.ageMs(now));
      if (perSecond === undefined) return { endpoint: incarnation, msAgo };
      return { endpoint: incarnation, msAgo, milliPerSecond: toDatagramNumber(perSecond * milli) };
    });
    for (let start = 0; start < limits.length; start += maxLimitsPerDatagram) {
      const some = limits.slice(start, start + maxLimitsPerDatagram);
      this.datagrams.sendAll({ case: 'limits', value: { limits: some } }, hosts);
    }
  }
}
