import { createModelConfiguration } from './platformFleet.js';
import { oddRegistrations } from './oddRegistrations.js';

const manyDigits = '9'.repeat(400);
const largest = Number.MAX_VALUE;

/** Changes a text of the sound configuration, which is of a later version. */
function changeConfiguration(sound: string, odd: string): string {
  return JSON.stringify(createModelConfiguration(9)).replace(sound, odd);
}

function conviction(traits: unknown, crashes: unknown): string {
  return JSON.stringify({ conviction: { traits, crashes }, isWithdrawn: false });
}

function news(crash: object): string {
  const crashes = [{ endpoint: 'e0@1', msAgo: 1, traits: ['request:1'], ...crash }];
  return JSON.stringify({ crashes, survivals: [], convictions: [], completions: 0 });
}

/** Odd values in the store, by their keys; those under the key of the configuration come one after the other. */
export const oddValues: readonly (readonly [key: string, value: string | Buffer])[] = [
  ['op/config', changeConfiguration('"Version":9', '"Version":1e400')],
  ['op/config', changeConfiguration('"TimeoutMs":2500', '"TimeoutMs":-1')],
  ['op/config', changeConfiguration('"ChunkBytes":49152', '"ChunkBytes":1e300')],
  ['op/config', changeConfiguration('"Kind":"safe"', '"Kind":"constructor"')],
  ['op/config', changeConfiguration('"Services":[', '"Services":{"x":[').concat('}')],
  ['op/config', oddRegistrations['nested-lists']!],
  ['op/config', oddRegistrations.bytes!],
  ['op/evacuate/', '{}'],
  ['op/version/m', JSON.stringify({ Model: 'm', Version: largest })],
  ['op/version/n', JSON.stringify({ Model: 'n', Version: -1 })],
  ['op/version/o', JSON.stringify([{ Model: 'o', Version: 1 }])],
  ['op/version/p', oddRegistrations['nested-objects']!],
  ['laburnumstream/entries/x', JSON.stringify({ dataCentre: 'a', host: '300.0.0.1' })],
  ['laburnumstream/entries/y', JSON.stringify({ dataCentre: '', host: '127.0.0.1' })],
  ['laburnumstream/entries/z', JSON.stringify({ dataCentre: 'a', host: 'line\r\nbreak' })],
  ['laburnumstream/entries/', JSON.stringify({ dataCentre: 'a', host: '127.0.0.1' })],
  ['laburnumstream/crashes/x', news({ msAgo: largest })],
  ['laburnumstream/crashes/y', news({ traits: [1] })],
  ['laburnumstream/crashes/z', news({ endpoint: {} })],
  ['laburnumstream/convictions/x', conviction([], 5)],
  ['laburnumstream/convictions/y', conviction(['request:1'], largest)],
  ['laburnumstream/convictions/z', conviction(new Array(20_000).fill(1), 5)],
];

/** Odd headers of engines. */
export const oddHeaders: readonly Readonly<Record<string, string>>[] = [
  { 'server-limit': manyDigits, 'laburnumstream-engine-load': `-1,${largest},x` },
  { 'server-limit': '99999999999', 'laburnumstream-cold-ms': manyDigits },
  { 'retry-after': '1e400, -1', 'laburnumstream-weight-versions': manyDigits },
  { 'keep-alive': `timeout=${manyDigits}`, 'laburnumstream-engine-load': ',,' },
];

/** A report of an engine; `layers` is a whole model. */
export const soundReport = {
  born: 1_700_000_000_000,
  Active: 1,
  Queued: 0,
  pace: 1,
  Busy: false,
  Seq: 2,
  layers: { From: 0, To: 16, Version: 1 },
};

function report(fields: object): string {
  return JSON.stringify({ ...soundReport, ...fields });
}

/** Odd reports of an engine. */
export const oddReports: readonly (string | Buffer)[] = [
  report({ born: 0.5 }),
  report({ born: -1 }),
  report({ born: largest }),
  report({ Active: 0.5 }),
  report({ Active: -1 }),
  report({ Active: largest }),
  report({ Queued: 4_294_967_296 }),
  report({ Queued: '1' }),
  report({ pace: largest }),
  report({ pace: -1 }),
  report({ Seq: largest }),
  report({ layers: { From: 0, To: 0, Version: largest } }),
  report({ layers: [0, 16, 1] }),
  report({}).replace('"Active":1', `"Active":1${manyDigits}`),
  ...['list', 'nothing', 'empty', 'cut', 'nested-lists', 'bytes'].map(
    (kind) => oddRegistrations[kind]!,
  ),
];
