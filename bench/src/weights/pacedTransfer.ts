import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { InstanceRole, InstanceState } from '@laburnumstream/common';
import type { Instance } from '@laburnumstream/common';
import { manifestDigest } from '@laburnumstream/decisions';
import type { sourceOrders } from '@laburnumstream/decisions';
import { sha256 } from '@laburnumstream/runtime';
import { OriginStandIn, TokenBucket, makeContent } from '@laburnumstream/standins';
import { freePorts } from '../ports.js';
import { RegionGateway } from './regionGateway.js';
import type { CompletionReport, WorkerTask } from './weightWorker.js';

/** Rate-limited links: a copy takes `copyMs` on an instance's link, half of that on the origin's. */
export const pacedLinks = {
  sizeBytes: 1_572_864,
  chunkBytes: 16_384,
  copyMs: 1_500,
  /** 18 Mbit/s between two regions in each direction. */
  regionBytesPerSecond: 2_250_000,
} as const;

/** Results of a run with real processes. */
export interface PacedOutcome {
  readonly durationMs: number;
  readonly originCopies: number;
  /** Largest number of copies sent into any remote region. */
  readonly remoteCopies: number;
}

const regions = ['south-plains', 'edwards-plateau', 'trans-pecos'];
const membersPerWorker = 4;
const secondMs = 1_000;
const workerPath = fileURLToPath(new URL('./weightWorker.js', import.meta.url));

/**
 * Lower bound of the transfer time: one copy over an instance's link, or half a copy over each of
 * the two links into a region.
 */
export function minTransferMs(): number {
  const { sizeBytes, copyMs, regionBytesPerSecond } = pacedLinks;
  const regionLinks = regions.length - 1;
  return Math.max(copyMs, (sizeBytes / regionBytesPerSecond / regionLinks) * secondMs);
}

function toMembersSeenFrom(
  region: string,
  members: readonly Instance[],
  gateways: ReadonlyMap<string, RegionGateway>,
): Instance[] {
  return members.map((member) => {
    const gateway = gateways.get(`${member.region}/${region}`);
    if (!gateway) return member;
    const { port } = new URL(member.weightsAddress!);
    return { ...member, weightsAddress: `${gateway.address}/${port}` };
  });
}

async function openGateways(): Promise<Map<string, RegionGateway>> {
  const pairs = regions.flatMap((from) =>
    regions.filter((to) => to !== from).map((to) => `${from}/${to}`),
  );
  const ports = await freePorts(pairs.length);
  const gateways = pairs.map((_, index) =>
    new RegionGateway(ports[index]!, pacedLinks.regionBytesPerSecond).start(),
  );
  const started = await Promise.all(gateways);
  return new Map(pairs.map((pair, index) => [pair, started[index]!]));
}

async function makeMembers(count: number): Promise<Instance[]> {
  const ports = await freePorts(count);
  return ports.map((port, index) => ({
    name: `agent-${index}`,
    role: InstanceRole.agent,
    region: regions[index % regions.length]!,
    dataCentre: `${regions[index % regions.length]!}-a`,
    address: `http://127.0.0.1:${port}`,
    weightsAddress: `http://127.0.0.1:${port}`,
    state: InstanceState.live,
  }));
}

async function startWorkers(tasks: readonly WorkerTask[]): Promise<ChildProcess[]> {
  return Promise.all(
    tasks.map(async (task) => {
      const child = fork(workerPath);
      child.send(task);
      await once(child, 'message');
      return child;
    }),
  );
}

async function waitUntilComplete(
  children: readonly ChildProcess[],
  count: number,
): Promise<number> {
  let lastAt = 0;
  let remaining = count;
  await new Promise<void>((resolve) => {
    children.forEach((child) =>
      child.on('message', ({ at }: CompletionReport) => {
        lastAt = Math.max(lastAt, at);
        remaining -= 1;
        if (remaining === 0) resolve();
      }),
    );
  });
  return lastAt;
}

/** Distributes one version to `count` members in real processes over rate-limited links. */
export async function pacedTransfer(
  count: number,
  order: keyof typeof sourceOrders,
): Promise<PacedOutcome> {
  const { sizeBytes, chunkBytes, copyMs } = pacedLinks;
  const bytesPerSecond = (sizeBytes / copyMs) * secondMs;
  const origin = await new OriginStandIn(new TokenBucket(bytesPerSecond * 2)).start();
  const manifest = origin.publish('m', 'v1', makeContent('m', 'v1', sizeBytes), chunkBytes);
  const wanted = { model: 'm', version: 'v1', digest: manifestDigest(manifest, sha256) };
  const gateways = await openGateways();
  const members = await makeMembers(count);
  const [originRegion = ''] = regions;
  const { port } = new URL(origin.address);
  const origins = regions.map((region) => {
    const gateway = gateways.get(`${originRegion}/${region}`);
    return [region, gateway ? `${gateway.address}/${port}` : origin.address];
  });
  const lists = regions.map((region) => [region, toMembersSeenFrom(region, members, gateways)]);
  const shared = {
    lists: Object.fromEntries(lists) as WorkerTask['lists'],
    origins: Object.fromEntries(origins) as WorkerTask['origins'],
    originRegion,
    bytesPerSecond,
    wanted,
    order,
  };
  const groups = Array.from({ length: Math.ceil(count / membersPerWorker) }, (_, index) =>
    members.slice(index * membersPerWorker, (index + 1) * membersPerWorker),
  );
  const children = await startWorkers(groups.map((group) => ({ ...shared, members: group })));
  try {
    const started = Date.now();
    children.forEach((child) => child.send('go'));
    const durationMs = (await waitUntilComplete(children, count)) - started;
    const copiesPerRegion = regions.slice(1).map((region) => {
      const links = [...gateways].filter(([pair]) => pair.endsWith(`/${region}`));
      return links.reduce((sum, [, { forwardedBytes }]) => sum + forwardedBytes, 0) / sizeBytes;
    });
    return {
      durationMs,
      originCopies: origin.sentBytes / sizeBytes,
      remoteCopies: Math.max(...copiesPerRegion),
    };
  } finally {
    children.forEach((child) => child.kill('SIGKILL'));
    await Promise.all([origin.stop(), ...[...gateways.values()].map((each) => each.stop())]);
  }
}
