import assert from 'node:assert/strict';
import { Given, Then, When, World } from '@cucumber/cucumber';
import { create } from '@bufbuild/protobuf';
import { WeightNewsSchema } from '@laburnumstream/protocol';
import { FleetView } from '@laburnumstream/sidecar';
import { VirtualClock } from '@laburnumstream/standins';
import { noopLog } from '../support/largeFleet.js';

interface AgentDatesWorld extends World {
  /** What an agent knows of the fleet. */
  agentView: FleetView;
}

Given('an agent beside an engine on version 1', function view(this: AgentDatesWorld) {
  this.agentView = new FleetView('127.0.0.8', 'a', new Map(), new VirtualClock(), noopLog);
});

When(
  /^entries tell it that version 2 was named (.+) ms ago, the guessed part after a plus$/,
  function tell(this: AgentDatesWorld, dates: string) {
    dates.split(', ').forEach((date) => {
      const [namedMsAgo = 0, unseenMs = 0] = date.split('+').map(Number);
      this.agentView.update(create(WeightNewsSchema, { version: 2, namedMsAgo, unseenMs }));
    });
  },
);

Then(
  /^the agent takes version 1 for outdated since (\d+) ms$/,
  function since(this: AgentDatesWorld, ms: string) {
    assert.equal(this.agentView.outdatedMs(1), Number(ms));
  },
);
