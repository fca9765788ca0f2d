import type {
  Endpoint,
  EntryLocation,
  FleetConfiguration,
  NamedVersion,
  StoreChange,
} from '@laburnumstream/common';

/** Something in the store that an entry acts on, decoded. */
export type FleetChange =
  | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  | { readonly kind: 'endpoint'; readonly id: string; readonly endpoint: Endpoint | undefined }
  | { readonly kind: 'evacuation'; readonly dataCentre: string; readonly isActive: boolean }
  | { readonly kind: 'version'; readonly named: NamedVersion }
  /** Without a place when the entry is gone. */
  | { readonly kind: 'entry'; readonly name: string; readonly place: EntryLocation | undefined };

/** Decodes what lies in the store. */
export interface FleetCodec {
  /** The prefix under which all of it lies. */
  readonly prefix: string;
  /** The key under which an entry registers itself. */
  entryKey(name: string): string;
  /** What an entry registers of itself. */
  encodeEntry(place: EntryLocation): string;
  /** Undefined for what does not concern entries; throws `InvalidInput` for what cannot be read. */
  decode(change: StoreChange): FleetChange | undefined;
}
