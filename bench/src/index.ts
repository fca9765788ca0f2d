/** What tests and benches share: fleets of processes on stand-ins, callers and reports. */
export { benchNames } from './benches.js';
export * from './caller.js';
export * from './fleet.js';
export * from './fleetShape.js';
export * from './histories/history.js';
export * from './histories/simulation.js';
export { Plant } from './histories/world.js';
export * from './managedProcess.js';
export * from './mutations/mutation.js';
export * from './mutations/mutationRun.js';
export * from './mutations/mutations.js';
export * from './ports.js';
export * from './weights/holderRun.js';
export * from './weights/virtualTransfer.js';
export * from './processUsage.js';
export * from './virtual/reverts.js';
export * from './virtual/virtualEntry.js';
export * from './virtual/virtualFleet.js';
