import type { Socket } from 'node:net';

/** Pauses the reading of a connection for one or more reasons, and resumes it when none is left. */
export class ReadGate {
  private readonly reasons = new Set<symbol>();

  private readonly pauseSocket: () => Socket;

  private readonly resumeSocket: () => Socket;

  /** Whether the HTTP server has last resumed the connection, or never paused it. */
  private isWanted = true;

  constructor(private readonly socket: Socket) {
    this.pauseSocket = socket.pause.bind(socket);
    this.resumeSocket = socket.resume.bind(socket);
    // The HTTP server pauses and resumes the connection, too: its last call is recorded and applied when no reason is left.
    const pause = (): Socket => {
      this.isWanted = false;
      return this.pauseSocket();
    };
    const resume = (): Socket => {
      this.isWanted = true;
      return this.reasons.size === 0 ? this.resumeSocket() : socket;
    };
    Object.assign(socket, { pause, resume });
  }

  /** Stops reading until the same reason is given to `resume`. */
  pause(reason: symbol): void {
    this.reasons.add(reason);
    this.pauseSocket();
  }

  /** Removes a reason; reading resumes if it was the last one. */
  resume(reason: symbol): void {
    if (!this.reasons.delete(reason) || this.reasons.size > 0) return;
    if (this.isWanted && !this.socket.destroyed) this.resumeSocket();
  }
}
