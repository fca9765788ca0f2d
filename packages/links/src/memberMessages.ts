import { create } from '@bufbuild/protobuf';
import { MemberState } from '@laburnumstream/decisions';
import type { MemberRecord } from '@laburnumstream/decisions';
import { MemberSchema } from '@laburnumstream/protocol';
import type { Member } from '@laburnumstream/protocol';

/** Admission limit of members whose message contains no load. */
const defaultLimit = 1;

function toMemberState({ gone, leaving }: Member): MemberState {
  if (gone) return MemberState.gone;
  return leaving ? MemberState.leaving : MemberState.alive;
}

/** Converts a message to a record. */
export function toMemberRecord(member: Member): MemberRecord {
  const { name, region, dataCentre, service, address, serving, unfit } = member;
  return {
    name,
    role: member.role === 'entry' ? 'entry' : 'agent',
    incarnation: Number(member.incarnation),
    beat: Number(member.beat),
    state: toMemberState(member),
    region,
    dataCentre,
    service,
    address,
    serving,
    limit: member.load?.limit ?? defaultLimit,
    ...(unfit ? { unfit: { digest: unfit.digest, reason: unfit.reason } } : {}),
  };
}

/** Converts a record to a message. */
export function toMemberMessage(record: MemberRecord): Member {
  const { name, role, region, dataCentre, service, address, limit } = record;
  return create(MemberSchema, {
    name,
    role,
    region,
    dataCentre,
    service,
    address,
    incarnation: BigInt(record.incarnation),
    beat: BigInt(record.beat),
    serving: [...record.serving],
    leaving: record.state === MemberState.leaving,
    gone: record.state === MemberState.gone,
    // Absent fields take no bytes: entries have no load.
    ...(record.unfit ? { unfit: record.unfit } : {}),
    ...(role === 'agent' ? { load: { limit } } : {}),
  });
}
