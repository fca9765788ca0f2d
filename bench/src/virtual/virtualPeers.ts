import { Aborted, Timeout } from '@laburnumstream/common';
import type { Clock, Instance } from '@laburnumstream/common';
import type { ConfigurationPeers, SyncResult } from '@laburnumstream/entry';
import type { VirtualEntry } from './virtualEntry.js';

const timeoutMs = 1_000;
const documentCostMs = 5;
const messageBytes = 200;

/** The network between entries in virtual time. */
export interface VirtualNetwork {
  readonly clock: Clock;
  readonly findEntry: (name: string) => VirtualEntry | undefined;
  /** Whether two data centres can reach each other. */
  readonly isReachable: (from: string, to: string) => boolean;
  readonly latencyMs: (from: string, to: string) => number;
  /** Adds to the bytes that a process has sent. */
  readonly countSent: (name: string, bytes: number) => void;
}

/** Calls to other entries over a virtual network. */
export class VirtualPeers implements ConfigurationPeers {
  constructor(
    private readonly caller: VirtualEntry,
    private readonly network: VirtualNetwork,
  ) {}

  async sync(peer: Instance, revision: number, signal: AbortSignal): Promise<SyncResult> {
    const callee = await this.reach(peer, signal);
    const { keeper, spreader } = callee;
    const { configuration } = keeper;
    const document = configuration.revision > revision ? keeper.document : '';
    const { storeSilenceMs } = spreader;
    this.network.countSent(callee.instance.name, messageBytes + document.length);
    const costMs = document ? callee.sendDocument(documentCostMs) : 0;
    await this.caller.clock.sleep(this.latencyTo(peer) + costMs, signal);
    const { revision: known, changeId } = configuration;
    return { revision: known, changeId, document, storeSilenceMs };
  }

  async announce(peer: Instance, revision: number, signal: AbortSignal): Promise<void> {
    const callee = await this.reach(peer, signal);
    void callee.spreader.handleAnnouncement(this.caller.instance, revision, callee.signal);
    await this.caller.clock.sleep(this.latencyTo(peer), signal);
  }

  private latencyTo(peer: Instance): number {
    return this.network.latencyMs(this.caller.instance.dataCentre, peer.dataCentre);
  }

  private async reach(peer: Instance, signal: AbortSignal): Promise<VirtualEntry> {
    const { network, caller } = this;
    network.countSent(caller.instance.name, messageBytes);
    await caller.clock.sleep(this.latencyTo(peer), signal);
    const callee = network.findEntry(peer.name);
    const isOpen = network.isReachable(caller.instance.dataCentre, peer.dataCentre);
    if (callee?.isResponsive && isOpen) return callee;
    await caller.clock.sleep(timeoutMs, signal);
    if (signal.aborted) throw new Aborted();
    throw new Timeout(`${peer.name} did not respond.`);
  }
}
