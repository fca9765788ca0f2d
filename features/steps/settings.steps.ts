import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { InvalidSettings } from '@laburnumstream/common';
import { parseSettings, parseRole } from '@laburnumstream/runtime';
import fc from 'fast-check';
import { anyJson, damagedJson, sampleInputs } from '../support/fuzzInputs.js';

const file = 'entry.jsonc';
const validLines = [
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
const errorPattern = /^entry\.jsonc:\d+: /;

interface SettingsWorld {
  settingsErrors: (string | undefined)[];
}

function readSettingsError(text: string): string | undefined {
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
    assert.equal(readSettingsError(validLines.join('\n')), undefined);
    const changed = validLines.map((each, index) => (index + 1 === Number(line) ? text : each));
    this.settingsErrors = [readSettingsError(changed.join('\n'))];
  },
);

Then(
  /^the fault is at line (\d+) and names (.+) and (.+)$/,
  function check(this: SettingsWorld, line: string, key: string, expected: string) {
    const [message = ''] = this.settingsErrors;
    assert.ok(message.startsWith(`${file}:${line}: ${key}`), message);
    assert.ok(message.includes(expected), message);
  },
);

When('{int} fuzzed settings files are checked', function fuzz(this: SettingsWorld, count: number) {
  const settings = JSON.parse(
    validLines
      .filter((line) => !line.startsWith('//'))
      .join('\n')
      .replace(/,\n([}\]])/g, '\n$1'),
  ) as Record<string, unknown>;
  const changed = fc
    .tuple(fc.constantFrom(...Object.keys(settings), 'unknown'), anyJson)
    .map(([key, value]) => ({ ...settings, [key]: value }));
  this.settingsErrors = sampleInputs(damagedJson(fc.oneof(changed, anyJson)), count).map(
    readSettingsError,
  );
});

Then('each is valid or refused with file and line', function check(this: SettingsWorld) {
  const refused = this.settingsErrors.filter((message) => message !== undefined);
  assert.ok(refused.length > 0 && refused.length < this.settingsErrors.length);
  refused.forEach((message) => {
    message.split('\n').forEach((line) => assert.match(line, errorPattern));
  });
});
