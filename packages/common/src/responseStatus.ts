/** Smallest status of a final response. */
const firstFinalStatus = 200;
/** Largest status that HTTP defines; statuses above it have no class, so that a caller can't tell what they mean. */
const lastFinalStatus = 599;

/** Whether a status is one of the final ones of HTTP, 200 to 599. */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= firstFinalStatus && status <= lastFinalStatus;
}

/** Whether a status is one of the interim ones of HTTP (1xx), after which the final response follows. */
export function isInterimStatus(status: number): boolean {
  return status >= 100 && status < firstFinalStatus;
}
