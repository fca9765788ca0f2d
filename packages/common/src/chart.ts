import { createMachine, initialTransition, transition } from 'xstate';
import type { AnyStateMachine, MachineConfig } from 'xstate';
import { IllegalTransition } from './failures.js';

/** A stateless interpreter of a statechart: computes transitions, keeps no current state. */
export class Chart {
  private readonly machine: AnyStateMachine;

  readonly name: string;

  readonly initial: string;

  /** @param definition xstate machine configuration, as parsed from JSON */
  constructor(definition: object) {
    const config = definition as MachineConfig<object, { type: string }>;
    this.machine = createMachine(config);
    this.name = String(config.id);
    this.initial = String(initialTransition(this.machine)[0].value);
  }

  /** Returns the state after `event`; throws `IllegalTransition` when the chart has no such transition. */
  next(state: string, event: string): string {
    const snapshot = this.machine.resolveState({ value: state, context: {} });
    if (!snapshot.can({ type: event })) throw new IllegalTransition(this.name, state, event);
    return String(transition(this.machine, snapshot, { type: event })[0].value);
  }

  /** Whether the chart has a transition for `event` in `state`. */
  accepts(state: string, event: string): boolean {
    return this.machine.resolveState({ value: state, context: {} }).can({ type: event });
  }
}
