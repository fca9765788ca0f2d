import { closeSync, openSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { PlatformProgram, makeEntrySettings } from '@laburnumstream/bench';
import type { SettingsLines } from '@laburnumstream/bench';
import { PlatformEngine, PlatformStore, respondWith, streamEvents } from '@laburnumstream/standins';
import type { Behaviour } from '@laburnumstream/standins';
import { eventually } from './assertions.js';
import { createConfiguration, firstStart } from './platformFleet.js';

/** Properties of a fleet whose entry is stopped. */
export interface StopFleetShape {
  readonly graceS: number;
  readonly engines: number;
  /** Connections that each engine accepts, in the operators' configuration. */
  readonly maxConnections: number;
  /** Timeout of all routes, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which responses should start, in milliseconds. */
  readonly goalMs: number;
}

/** A fleet with room for all requests, and deadlines that fit into the grace time. */
export const roomyShape: StopFleetShape = {
  graceS: 8,
  engines: 2,
  maxConnections: 1_000,
  timeoutMs: 6_000,
  goalMs: 5_500,
};

const slots = 200;

/** Number of events of each stream. */
export const streamLength = 10;

/** Query parameter of a request's path: how long its engine works, in milliseconds. */
export const workParameter = 'work';

/** Works for as long as the request's path says, then responds, or streams meanwhile. */
export const work: Behaviour = async (request, response, engine) => {
  const url = new URL(request.url ?? '/', 'http://engine');
  const workMs = Number(url.searchParams.get(workParameter));
  if (url.pathname.startsWith('/stream/')) {
    await streamEvents(streamLength, () => sleep(workMs / streamLength))(request, response, engine);
    return;
  }
  await sleep(workMs);
  respondWith('whole answer')(request, response, engine);
};

/** Returns a configuration with the shape's routes and limits. */
export function withShape(configuration: object, shape: StopFleetShape): object {
  const { timeoutMs, goalMs, maxConnections } = shape;
  const { Routes, ...rest } = configuration as { Routes: object[] };
  const routes = Routes.map((route) => ({ ...route, TimeoutMs: timeoutMs, GoalMs: goalMs }));
  return { ...rest, Routes: routes, Services: [{ Name: 'desk', MaxConns: maxConnections }] };
}

/** An entry in its own process, with a store and engines that work for as long as a request says. */
export class StopFleet {
  readonly program = new PlatformProgram();

  /** Monotonic time of the signal, in milliseconds; undefined before it. */
  stoppedAt: number | undefined;

  /** Monotonic time at which the exit of the entry was noticed, in milliseconds; undefined before it. */
  exitedAt: number | undefined;

  private readonly logFile = join(dirname(this.program.file), 'entry.log');

  private readonly log = openSync(this.logFile, 'a');

  private constructor(
    private readonly store: PlatformStore,
    readonly engines: readonly PlatformEngine[],
    private readonly lines: SettingsLines,
  ) {}

  static async start(shape: StopFleetShape): Promise<StopFleet> {
    const store = await PlatformStore.start();
    const engines = await Promise.all(
      Array.from({ length: shape.engines }, (_, index) => PlatformEngine.start(`e${index}`, work)),
    );
    const lines = await makeEntrySettings(store.address);
    const fleet = new StopFleet(store, engines, {
      ...lines,
      'Bounds.GraceS': String(shape.graceS),
      // A restarted entry would repeat nothing for a while.
      FirstStart: 'true',
    });
    store.write('op/config', withShape(createConfiguration(1, ['key-1']), shape));
    engines.forEach(({ id, address }) => {
      const registration = { Service: 'desk', Address: address, Zone: 'a', Slots: slots };
      store.write(`servers/${id}`, { ...registration, State: 'ready', born: firstStart });
    });
    try {
      await fleet.startProgram();
    } catch (error) {
      fleet.close();
      throw error;
    }
    return fleet;
  }

  /** IP:PORT of the entry. */
  get callerAddress(): string {
    return this.lines['Listen.Front']!;
  }

  /** Ids of the requests that engines have begun to execute. */
  get ranIds(): ReadonlySet<string> {
    return new Set(this.engines.flatMap(({ startedRequestIds }) => startedRequestIds));
  }

  /** Log lines of the entry that contain a text, such as the id of a request that it has read. */
  findLines(text: string): string[] {
    return readFileSync(this.logFile, 'utf8')
      .split('\n')
      .filter((line) => line.includes(text));
  }

  /** Sends SIGTERM to the entry. */
  stop(): void {
    this.stoppedAt = performance.now();
    this.program.signal('SIGTERM');
  }

  close(): void {
    this.program.close();
    closeSync(this.log);
    this.engines.forEach((engine) => engine.close());
    this.store.close();
  }

  private async startProgram(): Promise<void> {
    this.program.write(this.lines);
    await this.program.start(this.log);
    void this.program.waitForExit().then(() => {
      this.exitedAt = performance.now();
    });
    const url = `http://${this.lines['Listen.Ready']}/`;
    const isReady = (): Promise<boolean> =>
      fetch(url).then(
        ({ status }) => status === 200,
        () => false,
      );
    await eventually(isReady, 'the entry is ready');
  }
}
