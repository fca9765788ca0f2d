// Engines end some streams within an event; their callers get them as complete.
import { ask, configuration, hasTrouble, now, route, runCase, sleep } from '../lib/case.mjs';
import { ModelServer, modelService, originService } from '../lib/model.mjs';
import { Origin } from '../lib/origin.mjs';
import { Program } from '../lib/programs.mjs';
import { Store } from '../lib/store.mjs';

const host = 'jepu9.example';
const perSecond = 25;
/** Lengths of an episode and of the pause after it; the kinds have 5 s, the sheet up to 6.86 s. */
const episodes = 5;
const episodeMs = 5_500;
const pauseMs = 3_000;
/** `garble`: share (.5) break off or spoil x (.02) of their answers. */
const brokenShare = 0.02;

await runCase(new URL('./', import.meta.url), async (record) => {
  const store = new Store(record);
  await store.start('127.0.0.1');
  const origin = new Origin();
  await origin.start();
  const streams = route('r-clerk-question', host, '/lepu270/', 'tag-assistant', {
    Kind: 'stream',
    TimeoutMs: 6000,
    GoalMs: 302,
    Priority: 1,
    Sticky: true,
    Resumable: true,
    GapTargetMs: 300,
  });
  const tenants = [{ Name: 'bozi300', ApiKeys: ['key-one'], Priority: 1, HomeRegions: [] }];
  const document = configuration(10, [streams], [], tenants);
  document.Services.push(
    modelService('tag-assistant'),
    originService('store-portal', origin.address),
  );
  store.write('op/config', document);
  const engines = ['lubbock-a', 'lubbock-a', 'sanangelo-a', 'alpine-a'].map(
    (zone) => new ModelServer('tag-assistant', zone, store, record),
  );
  await Promise.all(engines.map((engine) => engine.start()));
  const agents = engines.map(
    ({ host: Ip, zone, address }, at) =>
      new Program('agent', `side-${zone}-${at + 1}`, zone, store.address, {
        Ip,
        app: address,
        Service: 'tag-assistant',
      }),
  );
  const entry = new Program('entry', 'front-lubbock-a-1', 'lubbock-a', store.address);
  await Promise.all([entry, ...agents].map((program) => program.start()));
  if (!(await entry.waitUntilReady()))
    return Promise.reject(new TypeError('The entry is not ready.'));
  await sleep(4_000);

  // In an episode half of the engines stop one of each fifty of their answers within its twelfth event.
  let isTroubled = false;
  let middles = 0;
  engines.slice(0, engines.length / 2).forEach((engine) =>
    Object.assign(engine, {
      cutAt: (_id, at) => {
        if (at !== 12 || !isTroubled) return false;
        middles += 1;
        return middles % Math.round(1 / brokenShare) === 0;
      },
    }),
  );
  const startedAt = now();
  const asked = [];
  for (let at = 0; now() - startedAt < episodes * (episodeMs + pauseMs); at += 1) {
    isTroubled = hasTrouble && (now() - startedAt) % (episodeMs + pauseMs) < episodeMs;
    asked.push(
      ask(record, entry.front, {
        path: '/lepu270/2f',
        host,
        key: 'key-one',
        method: 'POST',
        deadlineMs: 6000,
        body: Buffer.alloc(320, 'x'),
        headers: {
          'Laburnumstream-Model': 'daka510000',
          'Laburnumstream-Token-Usage': '607,72',
          'Laburnumstream-Prompt-Prefix': `5c1e07a2:40,${at.toString(16)}:567`,
        },
      }),
    );
    await sleep(1000 / perSecond);
  }
  const answers = await Promise.all(asked);
  engines.forEach((engine) => engine.stop());
  origin.stop();
  await store.stop();

  const whole = (id, body) =>
    body ===
    Array.from({ length: 21 }, (_, at) => `id: ${at + 1}\ndata: part ${at + 1} of ${id}\n\n`).join(
      '',
    );
  const complete = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
  record('check', `${complete.length} of ${answers.length} streams ended as complete`);
  return complete
    .filter(({ id, body }) => !whole(id, body))
    .map(({ id, body }) => `${id} ended as complete after ${JSON.stringify(body.slice(-40))}`);
});
