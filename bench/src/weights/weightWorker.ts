import { createServer } from 'node:http';
import {
  ConstantRateLimiter,
  WeightFetcher,
  WeightPeers,
  SendScheduler,
  WeightServer,
  WeightStore,
} from '@laburnumstream/agent';
import type { WantedVersion } from '@laburnumstream/agent';
import type { Instance } from '@laburnumstream/common';
import { sendingPriority, sourceOrders } from '@laburnumstream/decisions';
import { HttpWeightOrigin } from '@laburnumstream/clients';
import { HistogramMetrics, LoggerFactory, SystemClock } from '@laburnumstream/runtime';

/** The first message to a worker process. */
export interface WorkerTask {
  readonly members: readonly Instance[];
  /** All members by region, with the addresses under which that region reaches them. */
  readonly lists: Readonly<Record<string, readonly Instance[]>>;
  readonly origins: Readonly<Record<string, string>>;
  readonly originRegion: string;
  readonly bytesPerSecond: number;
  readonly wanted: WantedVersion;
  readonly order: keyof typeof sourceOrders;
}

/** Sent by a worker when a member holds the complete version. */
export interface CompletionReport {
  readonly name: string;
  readonly at: number;
}

const timeoutMs = 120_000;
const memoryBytes = 268_435_456;

async function serve(member: Instance, server: WeightServer): Promise<void> {
  const { hostname, port } = new URL(member.weightsAddress!);
  const listener = createServer((request, response) => void server.handle(request, response));
  await new Promise<void>((resolve) => {
    listener.listen(Number(port), hostname, resolve);
  });
}

async function prepare(task: WorkerTask, member: Instance): Promise<() => Promise<void>> {
  const clock = new SystemClock();
  const store = new WeightStore(memoryBytes);
  const list = task.lists[member.region]!;
  const peers = new WeightPeers(member, task.originRegion, () => list);
  const pace = () => new ConstantRateLimiter(clock, task.bytesPerSecond);
  const server = new WeightServer(store, new SendScheduler(pace()), (digest, receiver, chunk) =>
    sendingPriority(peers.topology(digest), receiver, chunk),
  );
  await serve(member, server);
  const origin = new HttpWeightOrigin(task.origins[member.region]!, timeoutMs);
  const routes = { origin, peers, receiveLimiter: pace(), order: sourceOrders[task.order] };
  const log = new LoggerFactory(member.name, 'warn').forComponent('weights');
  const fetcher = new WeightFetcher(routes, store, clock, new HistogramMetrics(), log);
  return async () => {
    await fetcher.fetch(task.wanted, new AbortController().signal);
    process.send!({ name: member.name, at: Date.now() } satisfies CompletionReport);
  };
}

process.once('message', (task: WorkerTask) => {
  void Promise.all(task.members.map((member) => prepare(task, member))).then((starts) => {
    process.once('message', () => starts.forEach((start) => void start()));
    process.send!('ready');
  });
});
