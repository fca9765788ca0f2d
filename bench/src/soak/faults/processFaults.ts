import { setTimeout as sleep } from 'node:timers/promises';
import { getAbruptFaultName } from '../history.js';
import { interruptibleSleep } from '../interruptibleSleep.js';
import type { SoakProcess } from '../process.js';
import { withFault, pickAgent, pickEntry, stepIntervalMs } from './fault.js';
import type { SoakFault, SoakFaultContext } from './fault.js';

type ProcessSelector = (context: SoakFaultContext) => SoakProcess;
const pickEntryProcess: ProcessSelector = (context) => pickEntry(context).process;

/** Names affected when a process is asked to stop. */
const announcedFaultNames = (name: string): readonly string[] => [name];
/** Names affected when a process is killed or paused without notice. */
const abruptFaultNames = (name: string): readonly string[] => [name, getAbruptFaultName(name)];

/** Ends a process with `end` and restarts it after a random delay. */
function endAndRestart(
  choose: ProcessSelector,
  end: (process: SoakProcess) => Promise<void>,
  names: (name: string) => readonly string[] = abruptFaultNames,
): SoakFault {
  return (context) => {
    const process = choose(context);
    return withFault(context, names(process.name), () =>
      process.restartExclusively(async () => {
        await end(process);
        await interruptibleSleep(context.random.next() * context.durationMs, context.signal);
        await process.start();
      }),
    );
  };
}

const kill = (choose: ProcessSelector): SoakFault =>
  endAndRestart(choose, (process) => process.kill());
const stop = (choose: ProcessSelector): SoakFault =>
  endAndRestart(choose, (process) => process.stop(), announcedFaultNames);

/** Asks a process to stop and kills it while it shuts down. */
const stopAndKill = (choose: ProcessSelector): SoakFault =>
  endAndRestart(choose, async (process) => {
    const stopped = process.stop();
    await sleep(stepIntervalMs);
    await process.kill();
    await stopped;
  });

function pauseOnce(choose: ProcessSelector): SoakFault {
  return (context) => {
    const process = choose(context);
    return withFault(context, abruptFaultNames(process.name), async () => {
      process.pause();
      await interruptibleSleep(context.durationMs, context.signal);
      process.resume();
    });
  };
}

/** Pauses a process several times in quick succession. */
function pauseRepeatedly(choose: ProcessSelector): SoakFault {
  return async (context) => {
    const { durationMs, signal, random } = context;
    const process = choose(context);
    await withFault(context, abruptFaultNames(process.name), async () => {
      for (
        let remainingMs = durationMs;
        remainingMs > 0 && !signal.aborted;
        remainingMs -= 2 * stepIntervalMs
      ) {
        process.pause();
        await interruptibleSleep(random.next() * stepIntervalMs, signal);
        process.resume();
        await interruptibleSleep(random.next() * stepIntervalMs, signal);
      }
    });
  };
}

/** Faults caused by signals to the programs, by name. */
export const processFaults: Readonly<Record<string, SoakFault>> = {
  killEntry: kill(pickEntryProcess),
  stopEntry: stop(pickEntryProcess),
  stopAndKillEntry: stopAndKill(pickEntryProcess),
  pauseEntry: pauseOnce(pickEntryProcess),
  stutterEntry: pauseRepeatedly(pickEntryProcess),
  killAgent: kill(pickAgent),
  stopAgent: stop(pickAgent),
  pauseAgent: pauseOnce(pickAgent),
};
