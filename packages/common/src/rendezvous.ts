import xxhash from 'xxhash-wasm';

const { h32, h64 } = await xxhash();

/** 32-bit xxHash of a text. */
export function hash32(text: string): number {
  return h32(text);
}

/** 64-bit xxHash of a text, in hex. */
export function hash64(text: string): string {
  return h64(text).toString(16).padStart(16, '0');
}

/** Sorts members by rendezvous hash of key and member name, highest first; ties by name. */
export function rendezvousOrder<Member>(
  key: string,
  members: readonly Member[],
  getName: (member: Member) => string,
): Member[] {
  return members
    .map((member) => ({
      member,
      name: getName(member),
      weight: hash32(`${key}\n${getName(member)}`),
    }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ member }) => member);
}
