import { SeededRandom } from '@laburnumstream/common';
import { EndpointLoad, capacityShare } from '@laburnumstream/decisions';

/** What an endpoint can do from a time on. */
export interface EndpointPhase {
  readonly atMs: number;
  /** Requests that it serves at once at its usual pace; more slow each other down. 0 if it refuses all. */
  readonly sustained: number;
  /** Whether it has restarted at this time, which the entries notice. */
  readonly isRestart?: boolean;
}

/** Entries of a region, which always have requests waiting, and the endpoint that they share. */
export interface PacedRun {
  readonly entries: number;
  readonly durationMs: number;
  readonly phases: readonly EndpointPhase[];
  /** Whether the entries hear nothing of each other. */
  readonly isSilent?: boolean;
  readonly seed?: number;
}

/** One step of a run. */
export interface PacedStep {
  readonly at: number;
  readonly running: number;
  /** Requests that were answered in the step. */
  readonly answered: number;
}

interface RunningRequest {
  readonly load: EndpointLoad;
  readonly sentAt: number;
  leftMs: number;
}

/** Slots of the endpoint, and time of a request at its usual pace. */
export const pacedEndpoint = { slots: 12, requestMs: 100 } as const;
const stepMs = 5;
const exchangeMs = 20;
const reportMs = 300;
const limits = { slots: pacedEndpoint.slots, spare: 1, unreadMs: 200 } as const;

/** Simulates entries in virtual time that fill one endpoint within its window; returns each step. */
export function simulatePace(run: PacedRun): PacedStep[] {
  const { entries, durationMs, phases, isSilent = false, seed = 1 } = run;
  const random = new SeededRandom(seed);
  const loads = Array.from(
    { length: entries },
    () =>
      new EndpointLoad(
        () => entries - 1,
        true,
        () => limits.slots + limits.spare,
        random.next(),
      ),
  );
  loads.forEach(({ window }) => {
    window.openForUnknown();
    Object.assign(window, { isEnabled: true });
  });
  let running: RunningRequest[] = [];
  const steps: PacedStep[] = [];
  const exchange = (now: number): void =>
    loads.forEach((load, index) =>
      loads.forEach((other, name) => {
        if (name !== index) other.updatePeer(`entry-${index}`, load.ownLoad, now);
      }),
    );
  const report = (now: number): void =>
    loads.forEach((load) => {
      const sharers = { local: entries, remote: 0, isLocal: true };
      const free = limits.slots + limits.spare - running.length;
      const allowance = capacityShare(free, sharers, random);
      load.applyReport(
        { running: running.length, waiting: 0, slowdown: 1 },
        load.ownRequests,
        allowance,
        now,
      );
    });
  const fill = (load: EndpointLoad, sustained: number, now: number): void => {
    while (load.hasWindow(true, now) && load.hasCapacity(limits, now)) {
      load.recordStart(0);
      if (sustained > 0) running.push({ load, sentAt: now, leftMs: pacedEndpoint.requestMs });
      else {
        load.recordEnd();
        load.window.recordFailure(load.outstanding(now), now);
        return;
      }
    }
  };
  for (let now = 0; now < durationMs; now += stepMs) {
    const phase = phases.filter(({ atMs }) => atMs <= now).at(-1);
    const sustained = phase?.sustained ?? pacedEndpoint.slots;
    if (phase?.isRestart && now - phase.atMs < stepMs)
      loads.forEach(({ window }) => window.restart(now));
    if (now % reportMs === 0) report(now);
    if (!isSilent && now % exchangeMs === 0) exchange(now);
    const progressMs = stepMs * Math.min(1, sustained / Math.max(1, running.length));
    running.forEach((request) => Object.assign(request, { leftMs: request.leftMs - progressMs }));
    const done = running.filter(({ leftMs }) => leftMs <= 0);
    running = running.filter(({ leftMs }) => leftMs > 0);
    done.forEach(({ load, sentAt }) => {
      load.recordEnd();
      const answer = { ms: now - sentAt, expectedMs: pacedEndpoint.requestMs, sentAt };
      load.window.recordAnswer(answer, load.outstanding(now), now);
    });
    const first = Math.floor(random.next() * entries);
    loads.forEach((_, index) => fill(loads[(first + index) % entries]!, sustained, now));
    steps.push({ at: now, running: running.length, answered: done.length });
  }
  return steps;
}
