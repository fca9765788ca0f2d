import { RequestStage } from '@laburnumstream/decisions';
import type { PlacementRequest } from '@laburnumstream/forwarding';
import { anyEndpoint, testService } from './largeFleet.js';

/** Creates a new request for any endpoint of the test's service, with some properties replaced. */
export function createPlacementRequest(
  id: string,
  request: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    id,
    service: testService,
    workspace: 'w',
    priority: 1,
    stage: RequestStage.fresh,
    configurationVersion: 1,
    configurationAgeMs: 0,
    isRetryable: true,
    arrivedAt: 0,
    startBy: 5_000,
    demand: { promptTokens: 10, answerTokens: 10 },
    fairnessGroups: ['r'],
    eligibility: anyEndpoint,
    goalAt: 6_000,
    deadlineAt: 7_000,
    ...request,
  };
}
