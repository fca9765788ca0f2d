import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Caller, Fleet, freePorts, smallFleet } from '@laburnumstream/bench';
import { SeededRandom } from '@laburnumstream/common';
import { MemberDirectory, Prober } from '@laburnumstream/entry';
import { LinkPool, Secrets, serveInternal } from '@laburnumstream/links';
import { AgentService } from '@laburnumstream/protocol';
import type { Member } from '@laburnumstream/protocol';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { Relay } from '@laburnumstream/standins';
import { eventually } from '../support/assertions.js';
import { createMember } from '../support/members.js';

const service = 'assistant';
const secret = 'secret-of-the-outage-tests';
const timeouts = { memberTimeoutMs: 3_000, dataCentreTimeoutMs: 10_000, returnRampMs: 1_000 };

interface OutageWorld {
  outageFleet: Fleet;
  outageCaller: Caller;
  outageAbort: AbortController;
  outageRelay: Relay;
  outageDirectory: MemberDirectory;
  outageMember: Member;
  outageNow: number;
}

const isOpen = (): boolean => true;

Given('a fleet for outages', async function start(this: OutageWorld) {
  this.outageFleet = await Fleet.start(smallFleet, { logLevel: 'warn' });
  this.outageCaller = new Caller(this.outageFleet.entries[1]!.callerUrl);
});

After(async function close(this: Partial<OutageWorld>) {
  this.outageAbort?.abort();
  await this.outageRelay?.stop();
  await this.outageCaller?.close();
  await this.outageFleet?.close();
});

When('the store goes down', function down(this: OutageWorld) {
  this.outageFleet.keyValue.faults.down = true;
});

Then(
  'requests are answered whole and a change is refused as not accepted',
  async function check(this: OutageWorld) {
    for (let index = 0; index < 10; index += 1) {
      const result = await this.outageCaller.complete(service, `draft ${index}`, { maxTokens: 2 });
      assert.equal(result.ended, true, JSON.stringify(result.error));
    }
    const path = 'data-centres/south-a/take-out';
    const response = await this.outageFleet.admin('POST', path, { reason: 'test' });
    assert.equal(response.status, 503);
  },
);

When('an entry starts anew', async function restart(this: OutageWorld) {
  const [entry] = this.outageFleet.entries;
  await entry!.process.kill();
  entry!.process.start();
});

Then(
  'it becomes ready with the configuration of its peers',
  async function check(this: OutageWorld) {
    const [entry] = this.outageFleet.entries;
    const isReady = async (): Promise<boolean> => {
      const response = await fetch(`${entry!.callerUrl}/ready`).catch(() => undefined);
      return response?.status === 200;
    };
    await eventually(isReady, 'the new entry is ready', 30_000);
    const caller = new Caller(entry!.callerUrl);
    const result = await caller.complete(service, 'a draft', { maxTokens: 2 });
    await caller.close();
    assert.equal(result.ended, true, JSON.stringify(result.error));
  },
);

Given(
  'an agent that beats to an entry but cannot be reached from it',
  async function cut(this: OutageWorld) {
    this.outageAbort = new AbortController();
    const { signal } = this.outageAbort;
    const [port] = await freePorts(1);
    const secrets = new Secrets([secret]);
    const endpoint = { host: '127.0.0.1', port: port!, secrets };
    await serveInternal(
      endpoint,
      (router) => router.service(AgentService, { probe: () => ({}) }),
      new HistogramMetrics(),
      signal,
    );
    this.outageRelay = await new Relay(port!).start();
    this.outageRelay.setMode('cut');
    const clock = new SystemClock();
    this.outageDirectory = new MemberDirectory(clock, 'north-a', timeouts, new SeededRandom(1));
    this.outageMember = createMember('agent-1', {
      service,
      address: `http://${this.outageRelay.address}`,
    });
    this.outageDirectory.recordHeartbeat(this.outageMember);
    assert.equal(this.outageDirectory.candidates(service, isOpen).length, 1);
    this.outageDirectory.markUnreachable('agent-1');
    const links = new LinkPool(secrets, 60_000, () => clock.now(), signal);
    void new Prober(this.outageDirectory, links, clock).run(signal);
  },
);

Then(
  'it stays left out while it beats, and returns when a probe reaches it',
  async function check(this: OutageWorld) {
    const { outageDirectory, outageMember, outageRelay } = this;
    for (let beat = 2n; beat < 12n; beat += 1n) {
      outageDirectory.recordHeartbeat({ ...outageMember, beat });
      assert.equal(outageDirectory.candidates(service, isOpen).length, 0);
      await new SystemClock().sleep(50);
    }
    outageRelay.setMode('open');
    const isCandidate = (): boolean => {
      outageDirectory.recordHeartbeat({ ...outageMember, beat: BigInt(Date.now()) });
      return outageDirectory.candidates(service, isOpen).length === 1;
    };
    await eventually(isCandidate, 'the agent is a candidate again', 20_000);
  },
);

Given('an entry whose news of another data centre stop', function cut(this: OutageWorld) {
  this.outageNow = 0;
  const clock = { now: () => this.outageNow, wall: () => 0, sleep: () => Promise.resolve() };
  this.outageDirectory = new MemberDirectory(clock, 'north-a', timeouts, new SeededRandom(1));
  this.outageDirectory.mergeRecord(createMember('far', { service, dataCentre: 'south-a' }));
  this.outageDirectory.members.confirmDataCentre('south-a', 0, 0);
});

Then(
  "its own endpoints stay and the other's are left out until the cut heals",
  function check(this: OutageWorld) {
    const getCandidateNames = (): string[] => {
      this.outageDirectory.recordHeartbeat(
        createMember('near', { service, beat: BigInt(this.outageNow + 1) }),
      );
      return this.outageDirectory.candidates(service, isOpen).map(({ name }) => name);
    };
    assert.deepEqual(getCandidateNames().sort(), ['far', 'near']);
    this.outageNow = 11_000;
    assert.deepEqual(getCandidateNames(), ['near']);
    this.outageDirectory.members.confirmDataCentre('south-a', 0, this.outageNow);
    assert.deepEqual(getCandidateNames().sort(), ['far', 'near']);
  },
);
