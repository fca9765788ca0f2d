import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const program = fileURLToPath(new URL('./stoppableEngineProgram.js', import.meta.url));

/** What the program of a {@link StoppableEngine} tells. */
export type EngineMessage = { readonly address: string } | { readonly requestId: string };

/** An engine that streams, in a process of its own that can be stopped and woken. */
export class StoppableEngine {
  /** Ids of the requests that reached it. */
  readonly requestIds: string[] = [];

  private constructor(
    readonly id: string,
    readonly address: string,
    private readonly process: ChildProcess,
  ) {
    process.on('message', (message: EngineMessage) => {
      if ('requestId' in message) this.requestIds.push(message.requestId);
    });
  }

  static async start(id: string): Promise<StoppableEngine> {
    const child = fork(program, [id]);
    const [message] = (await once(child, 'message')) as [{ address: string }];
    return new StoppableEngine(id, message.address, child);
  }

  stop(): void {
    this.process.kill('SIGSTOP');
  }

  wake(): void {
    this.process.kill('SIGCONT');
  }

  close(): void {
    this.process.kill('SIGKILL');
  }
}
