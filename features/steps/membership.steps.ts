import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { PauseDetector } from '@laburnumstream/common';
import {
  IncarnationStatus,
  MemberState,
  Membership,
  SlowStart,
  MemberStatus,
  chooseObservers,
  choosePartners,
  checkIncarnation,
} from '@laburnumstream/decisions';
import type { MemberRecord, Peer } from '@laburnumstream/decisions';
import fc from 'fast-check';

const seed = 20;
const bounds = {
  suspectMs: 2_250,
  timeoutMs: 3_000,
  dataCentreTimeoutMs: 10_000,
  retentionMs: 600_000,
};

interface MembershipWorld {
  memberView: Membership;
  otherMemberView: Membership;
  memberNow: number;
  returnedIncarnation: number;
}

function createRecord(name: string, fields: Partial<MemberRecord> = {}): MemberRecord {
  return {
    name,
    role: 'agent',
    incarnation: 1,
    beat: 1,
    state: MemberState.alive,
    region: 'north',
    dataCentre: 'north-a',
    service: 'assistant',
    address: 'http://127.0.0.1:1',
    serving: [],
    limit: 2,
    ...fields,
  };
}

function exchangeRecords(a: Membership, b: Membership, now: number): void {
  a.changesAfter(0).records.forEach((record) => b.mergeRecord(record, now));
  b.changesAfter(0).records.forEach((record) => a.mergeRecord(record, now));
}

Given('a membership view of data centre {word}', function view(this: MembershipWorld, dc: string) {
  this.memberNow = 0;
  this.memberView = new Membership(dc, bounds);
});

When(
  'member {word} sends heartbeat {int} as {word}',
  function beat(this: MembershipWorld, name: string, number: number, state: MemberState) {
    this.memberView.recordHeartbeat(createRecord(name, { beat: number, state }), this.memberNow);
  },
);

When(
  'member {word} sends heartbeat {int} of incarnation {int}',
  function beat(this: MembershipWorld, name: string, number: number, incarnation: number) {
    const record = createRecord(name, { beat: number, incarnation });
    this.returnedIncarnation = this.memberView.recordHeartbeat(record, this.memberNow);
  },
);

When('member {word} is silent for {int} ms', function silent(this: MembershipWorld, _: string, ms) {
  this.memberNow += Number(ms);
  this.memberView.sweep(this.memberNow);
});

When(
  'another entry tells of heartbeat {int} of member {word}',
  function tell(this: MembershipWorld, beat: number, name: string) {
    this.memberView.mergeRecord(createRecord(name, { beat }), this.memberNow);
  },
);

When(
  'the process of the view stands still for {int} ms',
  function pause(this: MembershipWorld, ms: number) {
    this.memberNow += ms;
    this.memberView.compensatePause(ms);
    this.memberView.sweep(this.memberNow);
  },
);

Then('member {word} is {word}', function check(this: MembershipWorld, name: string, state: string) {
  assert.equal(this.memberView.status(name, this.memberNow), state);
});

Then(
  'the answer names incarnation {int} and the record rests on heartbeat {int}',
  function check(this: MembershipWorld, incarnation: number, beat: number) {
    assert.equal(this.returnedIncarnation, incarnation);
    assert.equal(this.memberView.get('agent-1')?.beat, beat);
  },
);

Then(
  'member {word} is alive after {int} ms, suspect after {int} ms and gone after {int} ms',
  function check(
    this: MembershipWorld,
    name: string,
    alive: number,
    suspect: number,
    gone: number,
  ) {
    const standingAt = (now: number): MemberStatus => {
      this.memberView.sweep(now);
      return this.memberView.status(name, now);
    };
    assert.equal(standingAt(alive), MemberStatus.alive);
    assert.equal(standingAt(suspect), MemberStatus.suspect);
    assert.equal(standingAt(gone), MemberStatus.gone);
  },
);

Given('two membership views that hear the same member', function views(this: MembershipWorld) {
  this.memberView = new Membership('north-a', bounds);
  this.otherMemberView = new Membership('north-a', bounds);
  this.memberView.recordHeartbeat(createRecord('agent-1', { beat: 1 }), 0);
  this.otherMemberView.recordHeartbeat(createRecord('agent-1', { beat: 2 }), 0);
});

When('the first one no longer hears it', function cut(this: MembershipWorld) {
  this.memberView.recordHeartbeat(createRecord('agent-1', { beat: 3 }), 0);
  for (let beat = 4; beat < 9; beat += 1) {
    this.otherMemberView.recordHeartbeat(createRecord('agent-1', { beat }), beat * 500);
  }
  this.memberNow = 4_000;
  this.memberView.sweep(this.memberNow);
  assert.equal(this.memberView.status('agent-1', this.memberNow), MemberStatus.gone);
});

Then(
  'the member is alive for both after they have compared',
  function check(this: MembershipWorld) {
    exchangeRecords(this.memberView, this.otherMemberView, this.memberNow);
    exchangeRecords(this.memberView, this.otherMemberView, this.memberNow);
    [this.memberView, this.otherMemberView].forEach((view) => {
      view.sweep(this.memberNow + 100);
      assert.equal(view.status('agent-1', this.memberNow + 100), MemberStatus.alive);
    });
  },
);

When(
  'a member of south-a is known and south-a is silent for {int} ms',
  function silent(this: MembershipWorld, ms: number) {
    this.memberView.mergeRecord(createRecord('agent-2', { dataCentre: 'south-a' }), 0);
    this.memberView.confirmDataCentre('south-a', 0, 0);
    assert.equal(this.memberView.status('agent-2', 0), MemberStatus.alive);
    this.memberNow = ms;
  },
);

Then('that member is left out until news of south-a come', function check(this: MembershipWorld) {
  const { memberView, memberNow } = this;
  assert.equal(memberView.status('agent-2', memberNow), MemberStatus.suspect);
  memberView.confirmDataCentre('south-a', 500, memberNow);
  assert.equal(memberView.status('agent-2', memberNow), MemberStatus.alive);
});

interface HistoryEvent {
  readonly kind: 'beat' | 'leave' | 'restart' | 'tell';
  readonly member: number;
  readonly view: number;
  readonly other: number;
  readonly waitMs: number;
}

const historyEvent: fc.Arbitrary<HistoryEvent> = fc.record({
  kind: fc.constantFrom('beat', 'beat', 'tell', 'tell', 'leave', 'restart'),
  member: fc.nat(2),
  view: fc.nat(2),
  other: fc.nat(2),
  waitMs: fc.nat(2_500),
});

/** Applies a history to three views and returns them; `check` runs after each event. */
function runHistory(
  events: readonly HistoryEvent[],
  check: (views: readonly Membership[], left: ReadonlyMap<string, number>) => void,
): { views: Membership[]; now: number } {
  const views = Array.from({ length: 3 }, () => new Membership('north-a', bounds));
  const members = Array.from({ length: 3 }, () => ({ incarnation: 1, beat: 0, leaving: false }));
  const left = new Map<string, number>();
  let now = 0;
  events.forEach(({ kind, member, view, other, waitMs }) => {
    now += waitMs;
    const self = members[member]!;
    if (kind === 'leave') self.leaving = true;
    if (kind === 'restart') {
      Object.assign(self, { incarnation: self.incarnation + 1, beat: 0, leaving: false });
    }
    if (kind === 'beat' || kind === 'leave') {
      self.beat += 1;
      const { incarnation, beat } = self;
      const state = self.leaving ? MemberState.leaving : MemberState.alive;
      views[view]!.recordHeartbeat(
        createRecord(`agent-${member}`, { incarnation, beat, state }),
        now,
      );
      if (self.leaving) left.set(`${view} agent-${member}`, incarnation);
    }
    const known = views[view]!.changesAfter(0).records;
    if (kind === 'tell') known.forEach((record) => views[other]!.mergeRecord(record, now));
    views.forEach((each) => each.sweep(now));
    check(views, left);
  });
  return { views, now };
}

Then('views agree after comparing, whatever was lost, repeated or late', () => {
  const property = fc.property(fc.array(historyEvent, { maxLength: 60 }), (events) => {
    const { views, now } = runHistory(events, () => undefined);
    for (let round = 0; round < 3; round += 1) {
      views.forEach((a) => views.forEach((b) => exchangeRecords(a, b, now)));
    }
    const states = views.map((view) =>
      view.presentRecords().map(({ name, incarnation, state }) => [name, incarnation, state]),
    );
    const sorted = states.map((state) => state.map(String).sort());
    assert.deepEqual(sorted[1], sorted[0]);
    assert.deepEqual(sorted[2], sorted[0]);
    assert.equal(new Set(views.map(({ digest }) => digest)).size, 1);
  });
  fc.assert(property, { seed, numRuns: 500 });
});

Then('no view takes a leaving member for alive again', () => {
  const property = fc.property(fc.array(historyEvent, { maxLength: 60 }), (events) => {
    runHistory(events, (views, left) => {
      left.forEach((incarnation, key) => {
        const [view = '0', name = ''] = key.split(' ');
        const record = views[Number(view)]!.get(name);
        if (record?.incarnation !== incarnation) return;
        assert.notEqual(record.state, MemberState.alive);
      });
    });
  });
  fc.assert(property, { seed, numRuns: 500 });
});

const dataCentreCount = 6;

function createPeers(count: number, prefix: string): Peer[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${prefix}-${index}`,
    region: `region-${index % 2}`,
    dataCentre: `dc-${index % dataCentreCount}`,
    address: `http://127.0.0.1:${index}`,
  }));
}

Then('760 agents spread evenly over the entries of their data centres', () => {
  const entries = createPeers(370, 'entry');
  const load = new Map<string, number>();
  createPeers(760, 'agent').forEach((agent) => {
    const observers = chooseObservers(agent, entries, 3);
    assert.equal(observers.length, 3);
    observers.forEach(({ name, dataCentre }) => {
      assert.equal(dataCentre, agent.dataCentre);
      load.set(name, (load.get(name) ?? 0) + 1);
    });
  });
  const most = Math.max(...load.values());
  // 760 agents with 3 observers each over 370 entries: 6.2 on average.
  assert.ok(most <= 18, `${most} agents send heartbeats to one entry`);
});

Then(
  "every entry is some other's partner and news reach all within {int} rounds",
  (rounds: number) => {
    const entries = createPeers(370, 'entry');
    const own = entries.filter(({ dataCentre }) => dataCentre === 'dc-0');
    const partners = new Map(own.map((entry) => [entry.name, choosePartners(entry, entries, 3)]));
    const chosen = new Set([...partners.values()].flat().map(({ name }) => name));
    assert.equal(chosen.size, own.length);
    own.forEach(({ name }) => {
      let reached = new Set([name]);
      for (let round = 0; round < rounds; round += 1) {
        const next = [...reached].flatMap((each) => partners.get(each)!.map((peer) => peer.name));
        reached = new Set([...reached, ...next]);
      }
      assert.equal(reached.size, own.length, `${name} reaches ${reached.size}`);
    });
  },
);

Then('a restarted member raises its incarnation and a replaced one takes no work', () => {
  assert.equal(checkIncarnation(5, 5, false), IncarnationStatus.current);
  assert.equal(checkIncarnation(5, 9, false), IncarnationStatus.raise);
  assert.equal(checkIncarnation(5, 9, true), IncarnationStatus.superseded);
});

Then('a pause shows on either clock and a busy moment does not', () => {
  const detector = new PauseDetector(0, 1_000_000, 1_500);
  assert.equal(detector.check(1_000, 1_001_000).paused, false);
  assert.equal(detector.check(3_000, 1_003_000).paused, true);
  assert.equal(detector.check(3_100, 1_003_100).paused, false);
  assert.equal(detector.check(3_200, 1_099_000).paused, true);
  assert.equal(detector.check(3_300, 900_000).paused, false);
});

Then('its share of work grows from nothing to all within the ramp', () => {
  const ramp = new SlowStart(10_000);
  assert.equal(ramp.update('south-a', true, 0), false);
  assert.equal(ramp.share('south-a', 0), 1);
  ramp.update('south-a', false, 1_000);
  assert.equal(ramp.update('south-a', true, 2_000), true);
  assert.equal(ramp.share('south-a', 2_000), 0);
  assert.equal(ramp.share('south-a', 7_000), 0.5);
  assert.equal(ramp.share('south-a', 12_000), 1);
});
