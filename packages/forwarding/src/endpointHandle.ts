import type { Clock, Endpoint, Metrics, Random, ServiceProfile } from '@laburnumstream/common';
import {
  EndpointHealth,
  EndpointLoad,
  EngineModel,
  SharedRateLimiter,
  capacityShare,
} from '@laburnumstream/decisions';
import type { PlacementTarget, ReportedLoad, CapacitySharers } from '@laburnumstream/decisions';
import { ConnectionPool } from './connectionPool.js';

/** A stream that can go on at another endpoint. */
export interface MovableStream {
  /** Whether its first event has come. */
  readonly hasEvents: boolean;
  readonly move: () => void;
}

/** Time without any event on any stream after which an endpoint counts as silent, in milliseconds. */
const silentMs = 500;
/** Requests at once to a plain service that does not say how many it runs. */
const defaultSlots = 8;

/** What may wait at an engine: a request for the next free slot, and prompts to be read. */
export const roomLimits = { spare: 1, unreadMs: 200 } as const;

/** An endpoint as this entry uses it: its connections, its load and how it behaves. */
export class EndpointHandle implements PlacementTarget {
  readonly pool: ConnectionPool;

  readonly load: EndpointLoad;

  readonly coldRate: SharedRateLimiter;

  /** Streams of this entry that it is giving. */
  private readonly streams = new Set<MovableStream>();

  /** Monotonic time since when no stream has shown an event, in milliseconds. */
  private quietSince = 0;

  /** Monotonic time until which it is cold, in milliseconds. */
  coldUntil = 0;

  /** Whole version as the process beside it last said, 0 for none; undefined while it says nothing. */
  reportedVersion: number | undefined;

  /** Whether the process beside it is about to load other weights. */
  isSwitching = false;

  /** Monotonic time at which it is to leave its weights, in milliseconds; undefined when it is not. */
  switchAt: number | undefined;

  /** Whether it answers the process beside it, as far as that said. */
  isAnswering = true;

  model: EngineModel | undefined;

  constructor(
    public endpoint: Endpoint,
    public profile: ServiceProfile | undefined,
    readonly isLocal: boolean,
    readonly region: string,
    clock: Clock,
    metrics: Metrics,
    /** Other entries that send to it as this one does. */
    peers: () => number,
    /** Offset of this entry's sends while the endpoint is cold, from 0 to 1. */
    phase: number,
    readonly health = new EndpointHealth(),
  ) {
    this.coldRate = new SharedRateLimiter(phase);
    this.load = new EndpointLoad(peers, isLocal);
    this.pool = new ConnectionPool(endpoint.address, clock, metrics);
    this.takeProfile(profile);
  }

  get id(): string {
    return this.endpoint.id;
  }

  get slots(): number {
    return this.endpoint.slots || defaultSlots;
  }

  /** Version of the weights whose every layer it holds; undefined when there is none. */
  get version(): number | undefined {
    if (this.reportedVersion !== undefined) return this.reportedVersion || undefined;
    const { layers } = this.endpoint;
    const isWhole = layers?.from === 0 && layers.to === this.profile?.engine?.layers;
    return isWhole ? layers.version : undefined;
  }

  /** A stream has been sent there. */
  addStream(stream: MovableStream, now: number): void {
    if (this.streams.size === 0) this.quietSince = now;
    this.streams.add(stream);
  }

  removeStream(stream: MovableStream): void {
    this.streams.delete(stream);
  }

  /** A stream has shown an event. */
  heardEvent(now: number): void {
    this.quietSince = now;
  }

  /** Whether it has streams to give and gives nothing. */
  isSilent(now: number): boolean {
    return this.streams.size > 0 && now - this.quietSince > silentMs;
  }

  /** The agent beside the engine told its load; entries of some regions share the room. */
  takeLoad(load: ReportedLoad, sharers: CapacitySharers, random: Random, now: number): void {
    const free = this.slots + roomLimits.spare - load.running - load.waiting;
    const room = Math.min(free, this.model?.promptsWithin(roomLimits.unreadMs) ?? free);
    this.load.applyReport(load, this.load.ownRequests, capacityShare(room, sharers, random), now);
  }

  takeProfile(profile: ServiceProfile | undefined): void {
    if (profile?.engine && profile.engine !== this.profile?.engine) this.model = undefined;
    this.profile = profile;
    if (profile?.engine) this.model ??= new EngineModel(profile.engine);
  }

  /**
   * Asks its streams to go on elsewhere: those that have not begun at once, the others when they
   * still run after a while.
   */
  moveStreams(afterMs: number): void {
    const streams = [...this.streams];
    streams.filter(({ hasEvents }) => !hasEvents).forEach((stream) => stream.move());
    const moveRest = (): void =>
      streams.filter((stream) => this.streams.has(stream)).forEach((stream) => stream.move());
    setTimeout(moveRest, afterMs);
  }
}
