/** A mechanism that is switched off in the built code, and what must then fail. */
export interface Mutation {
  readonly name: string;
  /** Built file, from the root of the repository. */
  readonly file: string;
  /** Text that stands exactly once in the built file. */
  readonly find: string;
  readonly replace: string;
  /** Feature and scenario name; the fault soak's own scenario when `soak` is given. */
  readonly test: string;
  /** Arguments of the fault soak that notices, in place of the scenario. */
  readonly soak?: readonly string[];
}
