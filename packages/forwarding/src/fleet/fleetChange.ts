import type {
  Endpoint,
  EntryLocation,
  FleetConfiguration,
  NamedVersion,
  StoreChange,
} from '@laburnumstream/common';
import type { Quarantine, CrashUpdate } from '@laburnumstream/decisions';

/** A quarantine as it is stored. */
export interface StoredQuarantine {
  readonly quarantine: Quarantine;
  /** Whether an entry has found that it was wrong. */
  readonly isReleased: boolean;
}

/** A decoded change in the store that entries act on. */
export type FleetChange =
  | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  | { readonly kind: 'endpoint'; readonly id: string; readonly endpoint: Endpoint | undefined }
  | { readonly kind: 'evacuation'; readonly dataCentre: string; readonly isActive: boolean }
  | { readonly kind: 'version'; readonly named: NamedVersion }
  /** `location` is undefined when the entry is no longer registered. */
  | { readonly kind: 'entry'; readonly name: string; readonly location: EntryLocation | undefined }
  /** Crashes that an entry has seen; undefined when its record has expired. */
  | { readonly kind: 'crashes'; readonly name: string; readonly update: CrashUpdate | undefined }
  /** `stored` is undefined when the store no longer has it. */
  | {
      readonly kind: 'quarantine';
      readonly key: string;
      readonly stored: StoredQuarantine | undefined;
    };

/** Decodes the keys and values of the store. */
export interface FleetDecoder {
  /** Prefix of all keys that entries watch. */
  readonly prefix: string;
  /** The key under which an entry registers itself; without a name, the prefix of all those. */
  entryKey?(name: string): string;
  /** Returns undefined for keys that do not concern entries; throws `InvalidInput` for invalid values. */
  decode(change: StoreChange): FleetChange | undefined;
}

/** Encodes and decodes the keys and values of the store. */
export interface FleetCodec extends FleetDecoder {
  /** Prefix of the keys of named versions. */
  readonly versionPrefix: string;
  /** The key under which an entry registers itself. */
  entryKey(name: string): string;
  /** Encodes the value that an entry registers. */
  encodeEntry(location: EntryLocation): string;
  /** The key under which an entry records crashes. */
  crashesKey(name: string): string;
  encodeCrashes(update: CrashUpdate): string;
  /** The key under which a quarantine is stored. */
  quarantineKey(quarantine: Quarantine): string;
  encodeQuarantine(stored: StoredQuarantine): string;
}
