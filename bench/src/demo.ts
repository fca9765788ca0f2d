import { Caller } from './caller.js';
import { Fleet } from './fleet.js';
import { pecosFleet } from './fleetShape.js';

const model = 'tag-assistant-model';

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function showStream(caller: Caller): Promise<void> {
  const result = await caller.complete('tag-assistant', 'Draft an order for 40 sheep ear tags.');
  print(`streamed response: ${result.tokens.length} tokens, whole: ${result.ended}`);
}

async function showOrder(caller: Caller): Promise<void> {
  const headers = { 'idempotency-key': 'demo-order-1', 'non-idempotent': 'true' };
  const response = await caller.call('order-desk', '/orders', '{"tags":40}', { headers });
  print(`order placed: status ${response.status}, ${JSON.stringify(response.body)}`);
}

async function showTakeOut(fleet: Fleet): Promise<void> {
  const name = 'sanangelo-a';
  await fleet.admin('POST', `data-centres/${name}/take-out`, { reason: 'demo' });
  const entry = fleet.entries.find(({ dataCentre }) => dataCentre.name === name)!;
  const readyStatus = async () => (await fetch(`${entry.callerUrl}/ready`)).status;
  await fleet.waitUntil(async () => (await readyStatus()) === 503, 'the data centre is out');
  print(`data centre ${name}: out, its entries are not ready for the balancer`);
  const caller = new Caller(entry.callerUrl);
  await showStream(caller);
  await caller.close();
  await fleet.admin('POST', `data-centres/${name}/return`, { reason: 'demo' });
  await fleet.waitUntil(async () => (await readyStatus()) === 200, 'the data centre is back');
  print(`data centre ${name}: back`);
}

async function main(): Promise<void> {
  const started = performance.now();
  print('starting 3 data centres of the Pecos shape: 7 entries, 14 agents');
  const fleet = await Fleet.start(pecosFleet, { logLevel: 'warn' });
  try {
    print(`serving after ${Math.round(performance.now() - started)} ms`);
    const caller = new Caller(fleet.entries[0]!.callerUrl);
    await showStream(caller);
    await showOrder(caller);
    const before = fleet.origin.sentBytes;
    await fleet.rollOut(model, 'v2');
    await fleet.waitUntil(() => fleet.isRolledOut(model), 'the roll-out is done');
    const engines = fleet.agents.filter(({ engine }) => engine);
    const copies = (fleet.origin.sentBytes - before) / 1_048_576;
    print(`roll-out of v2: ${engines.length} endpoints, ${copies} copies read from the origin`);
    await showStream(caller);
    await showTakeOut(fleet);
    await caller.close();
  } finally {
    await fleet.close();
  }
  print('demo ended; nothing is left running');
}

await main();
