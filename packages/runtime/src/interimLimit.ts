import { ResponseTooLarge } from '@laburnumstream/common';

/** Maximum number of interim responses (1xx) to one request. */
const maxInterimResponses = 64;

/**
 * Creates a handler for the `onInfo` option of undici's requests. It ends a request with
 * `ResponseTooLarge` after too many interim responses, each of which resets undici's timeout for the head.
 */
export function createInterimLimit(): () => void {
  let count = 0;
  return () => {
    count += 1;
    if (count > maxInterimResponses)
      throw new ResponseTooLarge(`more than ${maxInterimResponses} interim responses`);
  };
}
