import type { Clock, Log, Metrics } from '@laburnumstream/common';
import { CrashEvidence } from '@laburnumstream/decisions';
import type { Quarantine, CrashUpdate, SurvivalReport } from '@laburnumstream/decisions';
import { Framing } from '../endpoints/endpointCall.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import type { Exchange } from '../callers/exchange.js';
import { OpenEnds } from './openEnds.js';
import { Refusal, RefusalReason } from '../callers/refusal.js';
import { getDigest, getPartTraits, getTraits, isDigest } from './requestTraits.js';

/** Passes on what this entry has seen. */
export interface CrashListener {
  onUpdate(update: CrashUpdate): void;
  onQuarantine(quarantine: Quarantine): void;
  onRelease(quarantine: Quarantine): void;
}

/** Time in which connections to one endpoint break before they are reported to other entries, in milliseconds. */
const reportDelayMs = 350;
/** Interval between checks whether a crash counts, in milliseconds. */
const settleIntervalMs = 100;
/** Delay after which callers may send a request again that was held back, in milliseconds. */
const holdRetryDelayMs = 1_300;
/** A quarantine has no end, so callers are asked to stay away for long, in milliseconds. */
const retryDelayMs = 600_000;

/** Finds content that crashes endpoints, from connections that break, and refuses requests with it. */
export class CrashGuard {
  private readonly evidence = new CrashEvidence();

  private readonly openEnds = new OpenEnds();

  private readonly listeners: CrashListener[] = [];

  /** Incarnations of endpoints whose crashes are still to be reported to other entries. */
  private readonly unreported = new Set<string>();

  private reportTimer: NodeJS.Timeout | undefined;

  private settleTimer: NodeJS.Timeout | undefined;

  constructor(
    /** Returns the endpoint with an id, if it is registered. */
    private readonly findEndpoint: (id: string) => EndpointHandle | undefined,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  addListener(listener: CrashListener): void {
    this.listeners.push(listener);
  }

  get quarantines(): readonly Quarantine[] {
    return this.evidence.quarantines.all;
  }

  /** Number of endpoints that ended under requests, as far as they are remembered. */
  get crashCount(): number {
    return this.evidence.crashCount;
  }

  /** Number of requests that were under way at several crashes and are not quarantined. */
  get crashingRequestCount(): number {
    const { quarantines, crashingRequests } = this.evidence;
    return [...crashingRequests.keys()].filter((trait) => !quarantines.has({ traits: [trait] }))
      .length;
  }

  /** Throws a `Refusal` if the request's content crashes endpoints. */
  check(exchange: Exchange): void {
    const { quarantines } = this.evidence;
    if (quarantines.size === 0) return;
    const hasDigests = quarantines.someTrait(isDigest);
    const traits = hasDigests ? getTraits(exchange) : new Set(getPartTraits(exchange));
    const quarantine = quarantines.find(traits);
    if (!quarantine) return;
    const { crashes } = quarantine;
    const content = quarantine.traits.join(' and ');
    const { id } = exchange.head;
    this.log.info('Request refused for its content.', { id, traits: quarantine.traits, crashes });
    const message = `${crashes} endpoints crashed on requests with ${content}.`;
    throw new Refusal(RefusalReason.crashingContent, message, retryDelayMs);
  }

  /** Whether crashes under this very request are not settled, so that it must not be sent. */
  isHeld(exchange: Exchange): boolean {
    return this.evidence.crashingRequests.size > 0 && this.evidence.isHeld(getDigest(exchange));
  }

  /** Throws a `Refusal` while crashes under this very request are not settled. */
  checkHold(exchange: Exchange): void {
    if (!this.isHeld(exchange)) return;
    const { id } = exchange.head;
    this.log.info('Request held back after crashes.', { id, traits: [getDigest(exchange)] });
    const message = 'Endpoints crashed on this request a moment ago.';
    throw new Refusal(RefusalReason.unsettledCrashes, message, holdRetryDelayMs);
  }

  /** Records that the connection to an endpoint broke while it was running a request. */
  recordBreak(handle: EndpointHandle, exchange: Exchange): void {
    const { incarnation, endpoint } = handle;
    // An endpoint that leaves may end before its last requests do.
    if (endpoint.isDraining || this.findEndpoint(handle.id) !== handle) {
      const reason = endpoint.isDraining ? 'leaving' : 'no longer registered';
      this.log.info('Crash not counted.', { endpoint: incarnation, reason });
      return;
    }
    this.recordCrash(incarnation, getTraits(exchange));
  }

  /** Records that a request is sent to an endpoint; counts those that were under way at several crashes. */
  recordSend(exchange: Exchange): void {
    const { crashingRequests } = this.evidence;
    if (crashingRequests.size === 0) return;
    const digest = getDigest(exchange);
    const crashes = crashingRequests.get(digest);
    if (crashes === undefined) return;
    this.metrics.count('requests_sent_after_crashes');
    const completions = this.evidence.countSurvivals(digest);
    const { id } = exchange.head;
    this.log.info('Request sent after crashes.', { id, traits: [digest], crashes, completions });
  }

  /** Records that an endpoint completed a request. */
  recordCompletion(handle: EndpointHandle, exchange: Exchange, framing: Framing | undefined): void {
    if (framing === Framing.connection) {
      this.recordOpenEnd(handle.incarnation, getTraits(exchange));
      return;
    }
    const traits = this.evidence.isActive ? getTraits(exchange) : new Set(getPartTraits(exchange));
    this.evidence.recordSurvival(traits, this.clock.now());
    if (this.evidence.needsSettlement) this.scheduleSettlement();
  }

  /** Records that an endpoint does not respond to its agent. */
  recordLoss({ incarnation }: EndpointHandle): void {
    const traits = this.openEnds.takeTraits(incarnation);
    if (traits.length > 0) this.recordCrash(incarnation, traits);
  }

  /** Merges the report of another entry; returns what this entry can add on the same crashes. */
  receive(update: CrashUpdate): SurvivalReport[] {
    const now = this.clock.now();
    const added = update.quarantines.filter(
      (quarantine) => !this.evidence.quarantines.has(quarantine),
    );
    const survivals = this.evidence.reportSurvivals(update.crashes, now);
    this.evidence.merge(update, now);
    added
      .filter((quarantine) => this.evidence.quarantines.has(quarantine))
      .forEach(({ traits, crashes }) =>
        this.log.info('Content quarantined by another entry.', { traits, crashes }),
      );
    if (this.evidence.needsSettlement) this.scheduleSettlement();
    const reported = new Map(update.survivals.map(({ trait, count }) => [trait, count]));
    return survivals.filter(({ trait, count }) => count > (reported.get(trait) ?? 0));
  }

  /** Accepts a quarantine; returns false if it is contradicted by requests that were completed here. */
  accept(quarantine: Quarantine): boolean {
    const isKnown = this.evidence.quarantines.has(quarantine);
    const isAccepted = this.evidence.accept(quarantine);
    const { traits, crashes } = quarantine;
    if (isAccepted && !isKnown)
      this.log.info('Content quarantined by another entry.', { traits, crashes });
    if (!isAccepted) this.log.warn('Quarantine contradicted.', { traits, crashes });
    return isAccepted;
  }

  /** Drops a quarantine that another entry, or an operator, has released. */
  release(quarantine: Quarantine): void {
    const isKnown = this.evidence.quarantines.has(quarantine);
    this.evidence.release(quarantine);
    if (isKnown) this.log.warn('Quarantine released.', { traits: quarantine.traits });
  }

  /** What this entry has seen of the crashes of some endpoints, without those that were false alarms. */
  createReport(endpoints: Iterable<string>): CrashUpdate {
    return this.evidence.report(endpoints, this.clock.now());
  }

  /** Records a response that the end of the endpoint may have ended. */
  private recordOpenEnd(endpoint: string, traits: ReadonlySet<string>): void {
    const at = this.clock.now();
    if (this.evidence.hasUnsettled && this.evidence.hasCrash(endpoint)) {
      this.recordCrash(endpoint, traits);
      return;
    }
    this.openEnds.add({ endpoint, at, traits });
    this.scheduleSettlement();
  }

  private recordCrash(incarnation: string, traits: Iterable<string>): void {
    const all = [...traits, ...this.openEnds.takeTraits(incarnation)];
    this.evidence.recordCrash(incarnation, this.clock.now(), all);
    this.unreported.add(incarnation);
    this.reportTimer ??= setTimeout(() => this.report(), reportDelayMs);
    this.scheduleSettlement();
  }

  private report(): void {
    this.reportTimer = undefined;
    const endpoints = [...this.unreported];
    this.unreported.clear();
    endpoints.forEach((endpoint) =>
      this.evidence.dropFalseAlarm(endpoint, this.getSignOfLife(endpoint)),
    );
    const update = this.createReport(endpoints);
    update.crashes.forEach(({ endpoint, traits }) =>
      this.log.info('Endpoint lost under requests.', { endpoint, traits: traits.length }),
    );
    if (update.crashes.length > 0) this.listeners.forEach((listener) => listener.onUpdate(update));
  }

  private scheduleSettlement(): void {
    this.settleTimer ??= setTimeout(() => {
      this.settleTimer = undefined;
      this.settle();
      if (this.evidence.needsSettlement || this.openEnds.size > 0) this.scheduleSettlement();
    }, settleIntervalMs);
  }

  private settle(): void {
    const now = this.clock.now();
    this.openEnds
      .takeWhole(now)
      .filter(({ endpoint, at }) => this.getSignOfLife(endpoint) > at)
      .forEach(({ traits }) => this.evidence.recordSurvival(traits, now));
    const { quarantined, released, falseAlarms } = this.evidence.settle(now, (incarnation) =>
      this.getSignOfLife(incarnation),
    );
    falseAlarms.forEach((endpoint) =>
      this.log.info('Crash not counted.', { endpoint, reason: 'sign of life' }),
    );
    released.forEach((quarantine) => {
      this.log.warn('Quarantine released.', { traits: quarantine.traits });
      this.listeners.forEach((listener) => listener.onRelease(quarantine));
    });
    quarantined.forEach((quarantine) => {
      const { traits, crashes } = quarantine;
      this.metrics.count('content_convicted');
      const completions = Math.max(...traits.map((trait) => this.evidence.countSurvivals(trait)));
      this.log.warn('Content quarantined.', { traits, crashes, completions });
      this.listeners.forEach((listener) => listener.onQuarantine(quarantine));
    });
  }

  private getSignOfLife(incarnation: string): number {
    const id = incarnation.slice(0, incarnation.lastIndexOf('@'));
    const handle = this.findEndpoint(id);
    return handle?.incarnation === incarnation ? handle.lastSignOfLifeAt : -Infinity;
  }
}
