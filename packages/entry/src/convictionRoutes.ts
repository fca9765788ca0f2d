import { InvalidInput } from '@laburnumstream/common';
import type { CrashGuard } from './crashGuard.js';
import { operatorRoute, viewerRoute } from './operatorRoutes.js';
import type { OperatorCall, Route } from './operatorRoutes.js';

async function liftConviction(
  guard: CrashGuard,
  { attribution, parameter }: OperatorCall,
): Promise<unknown> {
  if (!attribution.reason.trim()) throw new InvalidInput('Each change needs a written reason.');
  await guard.lift(parameter, `${attribution.author}: ${attribution.reason}`);
  return { lifted: parameter };
}

/** Administration API routes for convictions of requests that crash endpoints. */
export function getConvictionRoutes(guard: CrashGuard): Route[] {
  return [
    viewerRoute('convictions', () => guard.convictions()),
    operatorRoute('DELETE', 'convictions/([^/]+)', (call) => liftConviction(guard, call)),
  ];
}
