/** An edit of the built code that disables a mechanism, and the test that must then fail. */
export interface Mutation {
  readonly name: string;
  /** Path of the built file, relative to the root of the repository. */
  readonly file: string;
  /** Text that occurs exactly once in the built file. */
  readonly find: string;
  readonly replace: string;
  /** Names of the feature and scenario; those of the fault soak when `soak` is given. */
  readonly test: string;
  /** Arguments of the fault soak that detects the mutation; it runs in place of the scenario. */
  readonly soak?: readonly string[];
}
