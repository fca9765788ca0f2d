import { firstStart } from './platformFleet.js';

const levels = 5_000;

/** A registration of a plain endpoint; nothing listens at its address. */
export const soundRegistration = {
  Service: 'desk',
  Address: '127.0.0.1:9',
  Zone: 'a',
  Version: 'v1',
  Slots: 6,
  State: 'ready',
  ColdLeftMs: 0,
  Seq: 1,
  born: firstStart,
};

/** A registration of a model engine; nothing listens at its address. */
export const soundModelRegistration = {
  ...soundRegistration,
  Service: 'model',
  Address: '127.0.0.4:9',
  Slots: 16,
  layers: { From: 0, To: 16, Version: 1 },
};

function change(fields: Record<string, unknown>): string {
  return JSON.stringify({ ...soundRegistration, ...fields });
}

function changeLayers(fields: Record<string, unknown>): string {
  const layers = { ...soundModelRegistration.layers, ...fields };
  return JSON.stringify({ ...soundModelRegistration, layers });
}

/** Replaces a number of a registration by digits that `JSON.stringify` does not write. */
function changeDigits(field: string, digits: string): string {
  return change({ [field]: '#' }).replace('"#"', digits);
}

/** Values under `servers/` that are no registrations, by what is odd. */
export const oddRegistrations: Readonly<Record<string, string | Buffer>> = {
  'port-out-of-range': change({ Address: '127.0.0.1:70000' }),
  'port-of-many-digits': change({ Address: `127.0.0.1:${'9'.repeat(400)}` }),
  'port-0': change({ Address: '127.0.0.1:0' }),
  'address-out-of-range': change({ Address: '300.1.2.3:80' }),
  'address-name': change({ Address: 'engine.example:80' }),
  'address-number': change({ Address: 2_130_706_433 }),
  'slots-near-largest': change({ Slots: Number.MAX_VALUE }),
  'slots-past-largest': changeDigits('Slots', '1e400'),
  'slots-negative': change({ Slots: -6 }),
  'slots-fraction': change({ Slots: 0.5 }),
  'slots-text': change({ Slots: '6' }),
  'cold-negative': change({ ColdLeftMs: -1 }),
  'cold-near-largest': change({ ColdLeftMs: Number.MAX_VALUE }),
  'cold-past-largest': changeDigits('ColdLeftMs', '1e999'),
  'born-fraction': change({ born: 0.5 }),
  'born-negative': change({ born: -1 }),
  'born-near-largest': change({ born: Number.MAX_VALUE }),
  'state-unnamed': change({ State: 'idle' }),
  'state-inherited': change({ State: 'constructor' }),
  'state-long': change({ State: 'x'.repeat(500_000) }),
  'service-empty': change({ Service: '' }),
  'service-list': change({ Service: ['desk'] }),
  'zone-missing': change({ Zone: undefined }),
  'software-number': change({ Version: 1 }),
  'count-text': change({ Seq: 'many' }),
  'layers-version-near-largest': changeLayers({ Version: Number.MAX_VALUE }),
  'layers-version-negative': changeLayers({ Version: -1 }),
  'layers-version-fraction': changeLayers({ Version: 1.5 }),
  'layers-reversed': changeLayers({ From: 16, To: 0 }),
  'layers-list': JSON.stringify({ ...soundModelRegistration, layers: [0, 16, 1] }),
  list: '[1,2]',
  text: '"ready"',
  nothing: 'null',
  empty: '',
  cut: change({}).slice(0, 40),
  'nested-lists': '['.repeat(levels) + ']'.repeat(levels),
  'nested-objects': `${'{"Service":'.repeat(levels)}1${'}'.repeat(levels)}`,
  'nested-field': change({ Models: 0 }).replace(
    '"Models":0',
    `"Models":${'['.repeat(levels)}${']'.repeat(levels)}`,
  ),
  bytes: Buffer.from([0xff, 0xfe, 0x00, 0x80, 0xc3]),
  'bytes-in-text': Buffer.from(change({ Zone: 'a#' }).replace('#', '\u00ff'), 'latin1'),
};

/** Odd ids of registrations whose values are sound. */
export const oddEndpointIds = ['', 'with space', 'line\r\nbreak', 'umlaut-\u00e4', 'x'.repeat(190)];
