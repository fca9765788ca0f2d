import { changes } from './faults/changes.js';
import { engineFaults } from './faults/engineFaults.js';
import type { SoakFault } from './faults/fault.js';
import { linkFaults } from './faults/linkFaults.js';
import { processFaults } from './faults/processFaults.js';
import { storeFaults } from './faults/storeFaults.js';

/** All faults that a soak can inject, by the name used for `--faults`. */
export const soakFaults: Readonly<Record<string, SoakFault>> = {
  ...processFaults,
  ...linkFaults,
  ...storeFaults,
  ...engineFaults,
  ...changes,
};
