// Entries go on with the configuration from before a drill of the store: the store has given out the
// revision that they know once more before they ask again.
import { ask, configuration, hasTrouble, now, route, runCase, sleep } from '../lib/case.mjs';
import { Program } from '../lib/programs.mjs';
import { ServiceServer } from '../lib/server.mjs';
import { Store } from '../lib/store.mjs';

/** `ConfigApplyMs`, and all that may stretch it: `ContactMs` and `MaxSkewMs`. */
const boundMs = 2_000;
const excusedMs = 3_000 + 5_000;
const awayMs = 700;
const host = 'nony93.example';
const tenants = [{ Name: 'bozi300', ApiKeys: ['key-one'], Priority: 1, HomeRegions: [] }];
const writeConfiguration = (store, version, service) =>
  store.write(
    'op/config',
    configuration(
      version,
      [route('r-order-status', host, '/cubo964/', service, { TimeoutMs: 1000 + version })],
      ['order-desk', 'order-desk-new'],
      tenants,
    ),
  );

await runCase(new URL('./', import.meta.url), async (record) => {
  const store = new Store(record);
  await store.start('127.0.0.1');
  writeConfiguration(store, 10, 'order-desk');
  const servers = ['order-desk', 'order-desk', 'order-desk-new'].map(
    (service) => new ServiceServer(service, 'lubbock-a', store, record),
  );
  await Promise.all(servers.map((server) => server.start()));
  const entries = [1, 2].map(
    (number) => new Program('entry', `front-lubbock-a-${number}`, 'lubbock-a', store.address),
  );
  await Promise.all(entries.map((entry) => entry.start()));
  const ready = await Promise.all(entries.map((entry) => entry.waitUntilReady()));
  if (!ready.every(Boolean)) return Promise.reject(new TypeError('An entry is not ready.'));
  await sleep(4_000);

  const asked = [];
  const traffic = setInterval(() => {
    entries.forEach(({ front }) =>
      asked.push(ask(record, front, { path: '/cubo964/1', host, key: 'key-one' })),
    );
  }, 101);
  await sleep(1_000);

  const copy = store.copy();
  record('operator', `a copy of the store is taken at revision ${copy.revision}`);
  writeConfiguration(store, 11, 'order-desk');
  const added = new ServiceServer('order-desk-new', 'lubbock-a', store, record);
  await added.start();
  record(added.id, `added, at revision ${store.revision}`);
  await sleep(3_000);
  if (hasTrouble) {
    record('store', `away, at revision ${store.revision}`);
    await store.goAway();
    await sleep(awayMs);
    await store.comeBackFrom(copy);
    record('store', `back from the copy, at revision ${store.revision}, era ${store.era}`);
  } else {
    await sleep(awayMs);
  }
  // The operator's newest configuration and what the engine had written are written again.
  const revision = writeConfiguration(store, 12, 'order-desk-new');
  const movedAt = now();
  record('operator', `configuration 12 moves the route; acknowledged at revision ${revision}`);
  if (hasTrouble) {
    added.register();
    record(added.id, `written again, at revision ${store.revision}`);
  }
  // Machines are in touch, and the core is stable, ContactMs after the end of the drill.
  await sleep(16_000);
  clearInterval(traffic);
  const answers = await Promise.all(asked);
  [...servers, added].forEach((server) => server.stop());
  await store.stop();

  const ranAt = new Map(record.entries.map(({ ran, service }) => [ran, service]));
  const late = answers.filter(({ sentAt }) => sentAt > movedAt + boundMs + excusedMs);
  record(
    'check',
    `${late.length} requests were sent over ${boundMs + excusedMs} ms after the move`,
  );
  return late
    .filter(({ id }) => ranAt.get(id) === 'order-desk')
    .map(
      ({ id, front, sentAt, status }) =>
        `${id}, sent to ${front} ${Math.round(sentAt - movedAt)} ms after the acknowledgement, was run by the old service (${status})`,
    );
});
