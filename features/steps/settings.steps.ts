import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { InvalidSettings } from '@laburnumstream/common';
import { parseSettings, parseRole } from '@laburnumstream/runtime';
import fc from 'fast-check';
import { anyJson, damagedJson, sampleInputs } from '../support/fuzzInputs.js';

const file = 'entry.jsonc';
const valid = [
  '// Settings of an entry.',
  '{',
  '"role": "entry",',
  '"instance": "entry-1",',
  '"region": "north",',
  '"dataCentre": "north-a",',
  '"platform": {',
  '// The services of the platform.',
  '"keyValue": "http://127.0.0.1:1",',
  '"origin": "http://127.0.0.1:2",',
  '"instances": "http://127.0.0.1:3",',
  '"originRegion": "north",',
  '},',
  '"secrets": ["0123456789abcdef"],',
  '"options": {},',
  '"listen": {"callers": "127.0.0.1:4", "operators": "127.0.0.1:5", "internal": "127.0.0.1:6"},',
  '}',
];
const faultPattern = /^entry\.jsonc:\d+: /;

interface SettingsWorld {
  settingsFaults: (string | undefined)[];
}

function parseFault(text: string): string | undefined {
  try {
    parseSettings(parseRole(file, text), file, text);
    return undefined;
  } catch (error) {
    assert.ok(error instanceof InvalidSettings, String(error));
    return error.message;
  }
}

When(
  /^the settings line (\d+) is (.+)$/,
  function replace(this: SettingsWorld, line: string, text: string) {
    assert.equal(parseFault(valid.join('\n')), undefined);
    const changed = valid.map((each, index) => (index + 1 === Number(line) ? text : each));
    this.settingsFaults = [parseFault(changed.join('\n'))];
  },
);

Then(
  /^the fault is at line (\d+) and names (.+) and (.+)$/,
  function check(this: SettingsWorld, line: string, key: string, expected: string) {
    const [fault = ''] = this.settingsFaults;
    assert.ok(fault.startsWith(`${file}:${line}: ${key}`), fault);
    assert.ok(fault.includes(expected), fault);
  },
);

When('{int} fuzzed settings files are checked', function fuzz(this: SettingsWorld, count: number) {
  const whole = JSON.parse(
    valid
      .filter((line) => !line.startsWith('//'))
      .join('\n')
      .replace(/,\n([}\]])/g, '\n$1'),
  ) as Record<string, unknown>;
  const changed = fc
    .tuple(fc.constantFrom(...Object.keys(whole), 'unknown'), anyJson)
    .map(([key, value]) => ({ ...whole, [key]: value }));
  this.settingsFaults = sampleInputs(damagedJson(fc.oneof(changed, anyJson)), count).map(
    parseFault,
  );
});

Then('each is valid or refused with file and line', function check(this: SettingsWorld) {
  const refused = this.settingsFaults.filter((fault) => fault !== undefined);
  assert.ok(refused.length > 0 && refused.length < this.settingsFaults.length);
  refused.forEach((fault) => {
    fault.split('\n').forEach((line) => assert.match(line, faultPattern));
  });
});
