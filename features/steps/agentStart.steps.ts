import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { FleetDatagrams } from '@laburnumstream/links';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { EngineStaging, HeldVersion } from '@laburnumstream/sidecar';
import { eventually } from '../support/assertions.js';
import { noopLog, noopMetrics } from '../support/largeFleet.js';
import {
  StagingEngine,
  getPieceContent,
  sha256Hex,
  testVersion,
} from '../support/stagingEngine.js';

const model = 'm1';
/** Pause between two entries, so that they do not all come right before a regular report, in milliseconds. */
const entryIntervalMs = 70;
const firstEntryHost = 20;

interface AgentStartWorld {
  sidecarAbort: AbortController;
  sidecarEngine: StagingEngine;
  sidecarPort: number;
  pieceReads: number;
  piecesStaged: number;
  staging: EngineStaging;
  /** Time until the first report to each entry, in milliseconds. */
  reportedAfterMs: number[];
}

function createVersion(version: number): HeldVersion {
  const contents = Array.from({ length: testVersion.pieces }, (_, piece) =>
    getPieceContent(version, piece),
  );
  const held = new HeldVersion({ model, version, digests: contents.map(sha256Hex) });
  contents.forEach((bytes, piece) => held.add(piece, bytes));
  return held;
}

/** Counts the calls for pieces. */
function countCalls(world: AgentStartWorld): void {
  const { sidecarEngine: engine } = world;
  const getPiece = engine.getStagedPiece.bind(engine);
  const stagePiece = engine.stagePiece.bind(engine);
  Object.assign(world, { pieceReads: 0, piecesStaged: 0 });
  engine.getStagedPiece = (...request): Promise<Uint8Array> => {
    Object.assign(world, { pieceReads: world.pieceReads + 1 });
    return getPiece(...request);
  };
  engine.stagePiece = (...request): Promise<void> => {
    Object.assign(world, { piecesStaged: world.piecesStaged + 1 });
    return stagePiece(...request);
  };
}

Given(
  'the engine has staged all pieces of version 1, all of them right',
  function staged(this: AgentStartWorld) {
    createVersion(1).pieces.forEach((bytes, piece) => this.sidecarEngine.staged.set(piece, bytes!));
    countCalls(this);
  },
);

Then(
  'the order came after each piece was read once and none was staged',
  function atOnce(this: AgentStartWorld) {
    assert.equal(this.sidecarEngine.orders[0]?.isRight, true);
    assert.equal(this.pieceReads, testVersion.pieces);
    assert.equal(this.piecesStaged, 0);
  },
);

Given(
  'the pieces of version 1 at an engine, read back and then replaced by one of version 2',
  async function replaced(this: AgentStartWorld) {
    const { signal } = new AbortController();
    this.sidecarEngine = new StagingEngine();
    this.staging = new EngineStaging(this.sidecarEngine, new SystemClock(), noopMetrics, noopLog);
    const first = createVersion(1);
    const second = createVersion(2);
    const checkedSince = this.staging.now();
    first.pieces.forEach((bytes, piece) => this.sidecarEngine.staged.set(piece, bytes!));
    const stagePiece = this.sidecarEngine.stagePiece.bind(this.sidecarEngine);
    let calls = 0;
    this.sidecarEngine.stagePiece = (...request): Promise<void> => {
      calls += 1;
      return calls > 1 ? Promise.reject(new Error('The engine is gone.')) : stagePiece(...request);
    };
    await assert.rejects(this.staging.stage(second, signal));
    this.sidecarEngine.stagePiece = stagePiece;
    this.staging.adopt(first, [...first.pieces.keys()], checkedSince);
  },
);

When('version 1 is staged', function stage(this: AgentStartWorld) {
  return this.staging.stage(createVersion(1), new AbortController().signal);
});

Then('each staged piece is of version 1', function right(this: AgentStartWorld) {
  createVersion(1).pieces.forEach((bytes, piece) =>
    assert.deepEqual(this.sidecarEngine.staged.get(piece), bytes),
  );
});

When(
  /^(\d+) entries address it one after the other$/,
  async function address(this: AgentStartWorld, count: string) {
    this.reportedAfterMs = [];
    for (let index = 0; index < Number(count); index += 1) {
      const sentAt = performance.now();
      const report = (): number => this.reportedAfterMs.push(performance.now() - sentAt);
      let isFirst = true;
      const handlers = {
        report: () => {
          if (isFirst) report();
          isFirst = false;
        },
      };
      const metrics = new HistogramMetrics();
      const name = `front-${index}`;
      const entry = new FleetDatagrams(name, handlers, new SystemClock(), metrics, noopLog);
      const host = `127.0.0.${firstEntryHost + index}`;
      await entry.bind(host, this.sidecarPort, this.sidecarAbort.signal);
      entry.send({ case: 'fleet', value: { reportEveryMs: 700 } }, '127.0.0.1');
      await sleep(entryIntervalMs);
    }
    await eventually(() => this.reportedAfterMs.length === Number(count), 'all have a report');
  },
);

Then(
  /^each gets its first report within (\d+) ms$/,
  function soon(this: AgentStartWorld, ms: string) {
    const times = this.reportedAfterMs.map(Math.round);
    assert.ok(Math.max(...times) <= Number(ms), `after ${times.join(', ')} ms`);
  },
);
