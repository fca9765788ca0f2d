import { setTimeout as sleep } from 'node:timers/promises';
import { harmOf } from '../history.js';
import { pause } from '../pause.js';
import type { SoakProcess } from '../process.js';
import { disturbing, pickAgent, pickEntry, seriesGapMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

type Pick = (context: SoakFaultContext) => SoakProcess;
const entryProcess: Pick = (context) => pickEntry(context).process;

/** What is disturbed when a process is asked to stop. */
const asked = (name: string): readonly string[] => [name];
/** What is disturbed when a process is harmed without notice. */
const harmed = (name: string): readonly string[] => [name, harmOf(name)];

/** Ends a process in some way, and starts it again after a while. */
function ends(
  choose: Pick,
  how: (process: SoakProcess) => Promise<void>,
  names: (name: string) => readonly string[] = harmed,
): SoakFault {
  return (context) => {
    const process = choose(context);
    return disturbing(context, names(process.name), () =>
      process.exclusively(async () => {
        await how(process);
        await pause(context.random.next() * context.lastsMs, context.signal);
        await process.start();
      }),
    );
  };
}

const kills = (choose: Pick): SoakFault => ends(choose, (process) => process.kill());
const stops = (choose: Pick): SoakFault => ends(choose, (process) => process.stop(), asked);

/** Kills a process that has been asked to stop. */
const stopsAndKills = (choose: Pick): SoakFault =>
  ends(choose, async (process) => {
    const stopped = process.stop();
    await sleep(seriesGapMs);
    await process.kill();
    await stopped;
  });

function pauses(choose: Pick): SoakFault {
  return (context) => {
    const process = choose(context);
    return disturbing(context, harmed(process.name), async () => {
      process.pause();
      await pause(context.lastsMs, context.signal);
      process.resume();
    });
  };
}

/** Pauses a process several times, shortly after each other. */
function stutters(choose: Pick): SoakFault {
  return async (context) => {
    const { lastsMs, signal, random } = context;
    const process = choose(context);
    await disturbing(context, harmed(process.name), async () => {
      for (let left = lastsMs; left > 0 && !signal.aborted; left -= 2 * seriesGapMs) {
        process.pause();
        await pause(random.next() * seriesGapMs, signal);
        process.resume();
        await pause(random.next() * seriesGapMs, signal);
      }
    });
  };
}

/** Signals to the programs, by name. */
export const processFaults: Readonly<Record<string, SoakFault>> = {
  killEntry: kills(entryProcess),
  stopEntry: stops(entryProcess),
  stopAndKillEntry: stopsAndKills(entryProcess),
  pauseEntry: pauses(entryProcess),
  stutterEntry: stutters(entryProcess),
  killAgent: kills(pickAgent),
  stopAgent: stops(pickAgent),
  pauseAgent: pauses(pickAgent),
};
