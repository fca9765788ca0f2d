import { create } from '@laburnumstream/links';
import { EndpointLoadSchema, MemberSchema } from '@laburnumstream/protocol';
import type { Member } from '@laburnumstream/protocol';

/** Creates a member's heartbeat; `fields` override the defaults. */
export function createMember(
  name: string,
  fields: Partial<Omit<Member, '$typeName'>> = {},
): Member {
  return create(MemberSchema, {
    name,
    role: 'agent',
    incarnation: 1n,
    beat: 1n,
    region: 'north',
    dataCentre: 'north-a',
    load: create(EndpointLoadSchema, { limit: 4 }),
    ...fields,
  });
}
