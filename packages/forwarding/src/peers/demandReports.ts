import type { PriorityCounts } from '@laburnumstream/decisions';
import { toDatagramNumber } from '@laburnumstream/links';
import type { DatagramContent } from '@laburnumstream/links';

/** Demand on one service as a datagram carries it. */
export type EncodedDemand = NonNullable<
  Extract<DatagramContent, { case: 'demand' }>['value']['demands']
>[number];

/** Maximum number of priorities of one service that are taken from a datagram. */
export const maxPriorities = 16;

/** Encodes the counts of a service; `region` is empty for this entry's own part. */
export function encodeDemand(
  service: string,
  region: string,
  counts: readonly PriorityCounts[],
  { freePlaces = 0, ageMs = 0 }: { readonly freePlaces?: number; readonly ageMs?: number } = {},
): EncodedDemand {
  return {
    service,
    region,
    priorities: counts.slice(0, maxPriorities).map((each) => ({
      priority: toDatagramNumber(each.priority),
      arrived: toDatagramNumber(each.arrived),
      placedInTime: toDatagramNumber(each.placedInTime),
      placedLate: toDatagramNumber(each.placedLate),
      refused: toDatagramNumber(each.refused),
      waiting: toDatagramNumber(each.waiting),
    })),
    freePlaces: toDatagramNumber(freePlaces),
    ageMs: toDatagramNumber(ageMs),
  };
}
