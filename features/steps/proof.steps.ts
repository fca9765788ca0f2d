import assert from 'node:assert/strict';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Then, When } from '@cucumber/cucumber';
import { benchNames, isApplicable, mutations } from '@laburnumstream/bench';
import type { Mutation } from '@laburnumstream/bench';
import { parseProofRows, proofStates } from '../support/proofTable.js';
import type { ProofRow } from '../support/proofTable.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));

/** Prefixes of the nine points under "What must always hold". */
const points = [
  'No instance ever serves partial or mixed weights',
  'An endpoint just after a cold start',
  'A data centre taken out by operators',
  'Every caller receives the whole answer',
  'A refusal that says "not run" is true',
  'A request marked non-idempotent',
  'A leaving endpoint receives no new work',
  'Every planned stop is a graceful shutdown',
  'An accepted configuration is in force everywhere',
];

interface ProofWorld {
  proofRows: ProofRow[];
  proofMutations: readonly Mutation[];
}

/** Names of all scenarios, as "FEATURE: SCENARIO". */
function readScenarioNames(): Set<string> {
  const files = readdirSync(`${root}features`).filter((name) => name.endsWith('.feature'));
  return new Set(
    files.flatMap((file) => {
      const text = readFileSync(`${root}features/${file}`, 'utf8');
      const feature = /Feature: (.*)/.exec(text)?.[1] ?? '';
      const scenarios = [...text.matchAll(/Scenario(?: Outline)?: (.*)/g)];
      return scenarios.map((match) => `${feature}: ${match[1]}`);
    }),
  );
}

When('docs\\/PROOF.md is read', function read(this: ProofWorld) {
  this.proofRows = parseProofRows(readFileSync(`${root}docs/PROOF.md`, 'utf8'));
  assert.ok(this.proofRows.length > 0);
});

Then(
  'each row names existing files, tests and benches and a known state',
  function check(this: ProofWorld) {
    const scenarios = readScenarioNames();
    this.proofRows.forEach(({ point, files, tests, benches, state }) => {
      files.forEach((file) => assert.ok(existsSync(`${root}${file}`), `${point}: no file ${file}`));
      tests.forEach((test) => assert.ok(scenarios.has(test), `${point}: no test ${test}`));
      benches.forEach((name) => assert.ok(benchNames.includes(name), `${point}: no bench ${name}`));
      assert.ok(proofStates.includes(state), `${point}: unknown state ${state}`);
    });
  },
);

Then(
  'each proved row has a test and says on what it failed first',
  function check(this: ProofWorld) {
    this.proofRows
      .filter(({ state }) => state === 'proved')
      .forEach(({ point, tests, failedFirst }) => {
        assert.ok(tests.length > 0, `${point} has no test`);
        assert.ok(failedFirst !== '' && failedFirst !== '-', `${point} names no failure`);
      });
  },
);

Then("all nine points of the users' brief have a row", function check(this: ProofWorld) {
  points.forEach((point) => {
    const row = this.proofRows.find((each) => each.point.startsWith(point));
    assert.ok(row, `no row for: ${point}`);
  });
});

When('the mutations are read', function read(this: ProofWorld) {
  this.proofMutations = mutations;
});

Then('each fits the built code and names an existing test', function check(this: ProofWorld) {
  const scenarios = readScenarioNames();
  this.proofMutations.forEach((mutation) => {
    assert.ok(isApplicable(root, mutation), `${mutation.name} matches nothing in ${mutation.file}`);
    assert.ok(scenarios.has(mutation.test), `${mutation.name}: no test ${mutation.test}`);
  });
});
