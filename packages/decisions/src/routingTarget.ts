import { hash32 } from '@laburnumstream/common';

/** One entry's estimate of an endpoint's load, updated in place. */
export interface Target {
  readonly name: string;
  readonly hash: number;
  /** Work in flight from this entry, in work units. */
  own: number;
  /** Work in flight from this entry when the load was reported. */
  ownAtReport: number;
  reported: number;
  limit: number;
}

/** Creates a target whose load has not been reported. */
export function createTarget(name: string): Target {
  return { name, hash: hash32(name), own: 0, ownAtReport: 0, reported: 0, limit: 1 };
}

const goldenRatio = 0x9e3779b1;
const mixMultiplier = 0x85ebca6b;

/** Rendezvous weight of a key at a member, from their 32-bit hashes. */
export function rendezvousWeight(key: number, member: number): number {
  /* eslint-disable no-bitwise -- integer mixing */
  let mixed = Math.imul(key ^ member, goldenRatio);
  mixed = Math.imul(mixed ^ (mixed >>> 15), mixMultiplier);
  return (mixed ^ (mixed >>> 13)) >>> 0;
  /* eslint-enable no-bitwise */
}

/** Load relative to the limit: the last report, corrected by this entry's changes since. */
export function targetLoad({ own, ownAtReport, reported, limit }: Target): number {
  return Math.max(own, reported + own - ownAtReport) / limit;
}
