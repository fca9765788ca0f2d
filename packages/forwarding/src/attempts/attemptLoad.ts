import type { EndpointHandle } from '../endpoints/endpointHandle.js';

/** Counts one attempt in the load of its endpoint, from its start to its end. */
export class AttemptLoad {
  private isPrefilled = false;

  private hasEnded = false;

  constructor(
    private readonly handle: EndpointHandle,
    /** Time that the endpoint needs to process the prompt, in milliseconds. */
    private readonly prefillMs: number,
    private readonly onChange: (handle: EndpointHandle) => void,
    /** Tokens of an engine's key-value cache that the request holds at its end, at most. */
    private readonly heldTokens = 0,
  ) {}

  /** Whether the endpoint has processed the prompt. */
  get hasPrefilled(): boolean {
    return this.isPrefilled;
  }

  /** Counts the attempt from now on. */
  start(): void {
    this.handle.load.recordStart(this.prefillMs, this.heldTokens);
    this.onChange(this.handle);
  }

  /** Records that the endpoint has processed the prompt. */
  markPrefilled(): void {
    if (this.isPrefilled) return;
    this.isPrefilled = true;
    this.handle.load.recordPrefill(this.prefillMs);
    this.onChange(this.handle);
  }

  /** Ends the attempt; returns false if it had ended before. */
  end(): boolean {
    if (this.hasEnded) return false;
    this.hasEnded = true;
    this.markPrefilled();
    this.handle.load.recordEnd(this.heldTokens);
    this.onChange(this.handle);
    return true;
  }
}
