import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { mutations } from './mutations/mutations.js';
import { isDetected } from './mutations/mutationRun.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Runs all mutations, or those given by name; exit code 1 when a test did not detect one. */
function main(): number {
  const { positionals } = parseArgs({ allowPositionals: true });
  const chosen = mutations.filter(
    ({ name }) => positionals.length === 0 || positionals.includes(name),
  );
  const missed = chosen.filter((mutation) => {
    const detected = isDetected(root, mutation);
    console.log(`${detected ? 'noticed' : 'MISSED'}  ${mutation.name}  by ${mutation.test}`);
    return !detected;
  });
  console.log(`${chosen.length - missed.length} noticed, ${missed.length} missed`);
  return missed.length > 0 || chosen.length === 0 ? 1 : 0;
}

process.exit(main());
