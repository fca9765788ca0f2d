import { dispatch, spawn, start, stop } from 'nact';
import type { Ref } from 'nact';
import type { Chart, Log } from '@laburnumstream/common';
import { toFailure } from '@laburnumstream/common';

const system = start();

/** Handlers that run when a state is entered; the event that a handler returns is sent next. */
export type StateHandlers<Event extends string> = Readonly<
  Record<string, (signal: AbortSignal) => Promise<Event | undefined> | undefined>
>;

let actorCount = 0;

/**
 * An actor that runs a statechart. Each state's handler gets a signal that aborts when the state is
 * left or the owner's signal aborts.
 */
export class Lifecycle<Event extends string> {
  private current: string;

  private readonly actor: Ref<Event>;

  private stateAbort = new AbortController();

  constructor(
    private readonly chart: Chart,
    private readonly handlers: StateHandlers<Event>,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {
    this.current = chart.initial;
    actorCount += 1;
    const receive = (state: string, event: Event): string => this.handleEvent(state, event);
    const name = `${chart.name}-${actorCount}`;
    this.actor = spawn(system, receive, name, { initialState: chart.initial });
    signal.addEventListener('abort', () => this.end(), { once: true });
    this.enter(chart.initial);
  }

  /** The current state. */
  get state(): string {
    return this.current;
  }

  /** Sends an event to the actor; events that the current state does not accept are logged and dropped. */
  send(event: Event): void {
    if (!this.signal.aborted) dispatch(this.actor, event);
  }

  private handleEvent(state: string, event: Event): string {
    if (!this.chart.accepts(state, event)) {
      this.log.debug('Event not accepted.', { state, event });
      return state;
    }
    const next = this.chart.next(state, event);
    this.log.debug('State changed.', { from: state, to: next, event });
    this.current = next;
    this.stateAbort.abort();
    this.enter(next);
    return next;
  }

  private enter(state: string): void {
    this.stateAbort = new AbortController();
    const { signal } = this.stateAbort;
    void this.runHandler(state, signal);
  }

  private async runHandler(state: string, signal: AbortSignal): Promise<void> {
    try {
      const event = await this.handlers[state]?.(signal);
      if (event && !signal.aborted) this.send(event);
    } catch (error) {
      const { type, message } = toFailure(error);
      if (!signal.aborted)
        this.log.error('State handler failed.', { state, type, reason: message });
    }
  }

  private end(): void {
    this.stateAbort.abort();
    stop(this.actor);
  }
}
