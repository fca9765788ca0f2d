// A key that the operator takes away after a drill of the store goes on to be accepted by an entry
// that reads the store's content from another entry.
import { ask, configuration, hasTrouble, now, route, runCase, sleep } from '../lib/case.mjs';
import { Program } from '../lib/programs.mjs';
import { ServiceServer } from '../lib/server.mjs';
import { Store } from '../lib/store.mjs';

const revokeMs = 5_000;
const awayMs = 250;
const host = 'nony93.example';
const routes = (timeoutMs) => [
  route('r-order-status', host, '/cubo964/', 'order-desk', { TimeoutMs: timeoutMs }),
];
const tenants = (keys) => [{ Name: 'bozi300', ApiKeys: keys, Priority: 1, HomeRegions: [] }];
const writeConfiguration = (store, version, keys) =>
  store.write(
    'op/config',
    configuration(version, routes(1000 + version), ['order-desk'], tenants(keys)),
  );

await runCase(new URL('./', import.meta.url), async (record) => {
  const store = new Store(record);
  await store.start('127.0.0.1');
  const both = ['key-taken', 'key-kept'];
  writeConfiguration(store, 10, both);
  const servers = ['lubbock-a', 'sanangelo-a'].map(
    (zone) => new ServiceServer('order-desk', zone, store, record),
  );
  await Promise.all(servers.map((server) => server.start()));
  const entries = [1, 2, 3].map(
    (number) => new Program('entry', `front-lubbock-a-${number}`, 'lubbock-a', store.address),
  );
  await Promise.all(entries.map((entry) => entry.start()));
  const ready = await Promise.all(entries.map((entry) => entry.waitUntilReady()));
  if (!ready.every(Boolean)) return Promise.reject(new TypeError('An entry is not ready.'));
  await sleep(4_000);

  const asked = [];
  const traffic = setInterval(() => {
    entries.forEach(({ front }) => {
      const { key } = { key: asked.length % 2 === 0 ? 'key-taken' : 'key-kept' };
      asked.push(
        ask(record, front, { path: '/cubo964/1', host, key }).then((answer) => ({
          ...answer,
          key,
        })),
      );
    });
  }, 101);
  await sleep(1_000);

  const copy = store.copy();
  record('operator', `a copy of the store is taken at revision ${copy.revision}`);
  for (const version of [11, 12, 13]) {
    const revision = writeConfiguration(store, version, both);
    record('operator', `configuration ${version} acknowledged at revision ${revision}`);
    await sleep(1_000);
  }
  if (hasTrouble) {
    record('store', `away, at revision ${store.revision}`);
    await store.goAway();
    await sleep(awayMs);
    await store.comeBackFrom(copy);
    record('store', `back from the copy, at revision ${store.revision}, era ${store.era}`);
    const revision = writeConfiguration(store, 13, both);
    record('operator', `configuration 13 written again at revision ${revision}`);
  }
  await sleep(5_000);

  const revision = writeConfiguration(store, 14, ['key-kept']);
  const takenAt = now();
  record('operator', `configuration 14 without key-taken acknowledged at revision ${revision}`);
  await sleep(revokeMs + 6_000);
  clearInterval(traffic);
  const answers = await Promise.all(asked);
  servers.forEach((server) => server.stop());
  await store.stop();

  const ran = new Set(record.entries.map(({ ran: id }) => id));
  const kept = answers.filter(({ key, sentAt }) => key === 'key-kept' && sentAt > takenAt);
  const served = kept.filter(({ status }) => status === 200);
  record('check', `${served.length} of ${kept.length} requests with the other key were served`);
  return answers
    .filter(
      ({ key, sentAt, id }) => key === 'key-taken' && sentAt > takenAt + revokeMs && ran.has(id),
    )
    .map(
      ({ id, front, sentAt, status }) =>
        `${id}, sent to ${front} ${Math.round(sentAt - takenAt)} ms after the acknowledgement, ran (${status})`,
    );
});
