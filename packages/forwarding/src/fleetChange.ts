import type {
  Endpoint,
  EntryLocation,
  FleetConfiguration,
  NamedVersion,
  StoreChange,
} from '@laburnumstream/common';

/** A decoded change in the store that entries act on. */
export type FleetChange =
  | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  | { readonly kind: 'endpoint'; readonly id: string; readonly endpoint: Endpoint | undefined }
  | { readonly kind: 'evacuation'; readonly dataCentre: string; readonly isActive: boolean }
  | { readonly kind: 'version'; readonly named: NamedVersion }
  /** `location` is undefined when the entry is no longer registered. */
  | { readonly kind: 'entry'; readonly name: string; readonly location: EntryLocation | undefined };

/** Encodes and decodes the keys and values of the store. */
export interface FleetCodec {
  /** Prefix of all keys that entries watch. */
  readonly prefix: string;
  /** The key under which an entry registers itself. */
  entryKey(name: string): string;
  /** Encodes the value that an entry registers. */
  encodeEntry(location: EntryLocation): string;
  /** Returns undefined for keys that do not concern entries; throws `InvalidInput` for invalid values. */
  decode(change: StoreChange): FleetChange | undefined;
}
