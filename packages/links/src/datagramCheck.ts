import { InvalidInput } from '@laburnumstream/common';
import type { CrashNews, Datagram } from '@laburnumstream/protocol';

/** Without a trait a conviction would cover all requests. */
function checkCrashNews({ convictions }: CrashNews): void {
  if (convictions.some(({ traits }) => traits.length === 0))
    throw new InvalidInput('A conviction has no traits.');
}

/** Throws `InvalidInput` where a datagram can be read but can't be right. */
export function checkDatagram({ sender, content }: Datagram): void {
  if (sender === '') throw new InvalidInput('The datagram has no sender.');
  if (content.case === 'crashes') checkCrashNews(content.value);
}
