import { Behaviours, PlatformEngine } from '@laburnumstream/standins';
import type { EngineMessage } from './stoppableEngine.js';

/** Longest life of the process, in milliseconds. */
const maxLifeMs = 60_000;

function tell(message: EngineMessage): void {
  process.send?.(message);
}

const [, , id = 'engine'] = process.argv;
const engine = await PlatformEngine.start(id, (request, response, self) => {
  tell({ requestId: String(request.headers['laburnumstream-request-id']) });
  return Behaviours.streams(request, response, self);
});
tell({ address: engine.address });
setTimeout(() => process.exit(), maxLifeMs);
process.once('disconnect', () => process.exit());
