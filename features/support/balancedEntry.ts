import { PlatformProgram } from '@laburnumstream/bench';
import type { SettingsLines } from '@laburnumstream/bench';

/** Checks in a row without status 200 after which an entry gets no new connections. */
const missesUntilOut = 2;

/** An entry in its own process, behind the load balancer. */
export class BalancedEntry {
  private readonly program = new PlatformProgram();

  private misses = missesUntilOut;

  constructor(private readonly lines: SettingsLines) {}

  /** IP:PORT */
  get callerAddress(): string {
    return this.lines['Listen.Front']!;
  }

  /** Whether it gets new connections. */
  get isInRotation(): boolean {
    return this.misses < missesUntilOut;
  }

  async start(): Promise<void> {
    this.program.write(this.lines);
    await this.program.start();
  }

  /** Sends SIGTERM and resolves with the exit code. */
  stop(): Promise<number | null> {
    this.program.signal('SIGTERM');
    return this.program.waitForExit();
  }

  /** Asks whether it is ready, as the load balancer does. */
  async check(): Promise<void> {
    const status = await fetch(`http://${this.lines['Listen.Ready']}/-/readiness`).then(
      (response) => response.status,
      () => 0,
    );
    this.misses = status === 200 ? 0 : this.misses + 1;
  }

  close(): void {
    this.program.close();
  }
}
