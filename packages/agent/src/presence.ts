import type { Clock, Instance, Log } from '@laburnumstream/common';
import type { LinkPool, MessageInitShape } from '@laburnumstream/links';
import type { MemberSchema } from '@laburnumstream/protocol';
import type { AgentSettings } from '@laburnumstream/runtime';
import type { ConfigurationFollower } from './configurationFollower.js';
import { Heartbeat } from './heartbeat.js';

const withdrawRetryMs = 100;
const maxWithdrawAttempts = 10;
const refreshTimeoutMs = 2_000;

/** Returns the changing fields of the agent's own description. */
export type DescribeState = () => Pick<
  MessageInitShape<typeof MemberSchema>,
  'serving' | 'load' | 'unfit'
>;

/** Announces this agent to the entries and withdraws it. */
export class Presence {
  readonly heartbeat: Heartbeat;

  private leaving = false;

  constructor(
    private readonly settings: AgentSettings,
    links: LinkPool,
    entries: () => readonly Instance[],
    private readonly describeState: DescribeState,
    follower: ConfigurationFollower,
    /**
     * Called when another process superseded this one; two would admit twice the limit of the
     * endpoint.
     */
    private readonly onSuperseded: () => void,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    const { instance: name, region, dataCentre, options } = settings;
    this.heartbeat = new Heartbeat(
      links,
      { name, region, dataCentre, address: this.address },
      entries,
      () => this.describeSelf(),
      follower,
      () => this.handleSuperseded(),
      clock,
      options.heartbeatMs,
      options.observers,
      log,
    );
  }

  /** Notifies the entries that this agent is leaving, until one has confirmed. */
  async withdraw(signal: AbortSignal): Promise<void> {
    this.leaving = true;
    for (let attempt = 0; attempt < maxWithdrawAttempts; attempt += 1) {
      if ((await this.heartbeat.sendToAll(signal)) > 0) return;
      await this.clock.sleep(withdrawRetryMs);
    }
    this.log.warn('No entry confirmed the withdrawal.');
  }

  /** Fetches the latest configuration; without a reachable entry the current one stays in force. */
  async refreshConfiguration(): Promise<void> {
    await this.heartbeat.sendToAll(AbortSignal.timeout(refreshTimeoutMs));
  }

  private get address(): string {
    const { advertised, internal } = this.settings.listen;
    return `http://${advertised ?? internal}`;
  }

  private handleSuperseded(): void {
    if (!this.leaving) this.log.error('Another process has taken this place.');
    this.leaving = true;
    this.onSuperseded();
  }

  private describeSelf(): MessageInitShape<typeof MemberSchema> {
    const { instance: name, region, dataCentre, service } = this.settings;
    const { address, leaving } = this;
    return { name, region, dataCentre, service, address, leaving, ...this.describeState() };
  }
}
