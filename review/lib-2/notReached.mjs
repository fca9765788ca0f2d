/** Thrown where a case can't run. */
export class NotReached extends Error {
  constructor(what) {
    super(`not reached: ${what}`);
  }
}
