/**
 * Remembers the origins of streams until their callers may no longer take them up. The ledger is changed in place, as it holds
 * thousands of records. A record that is lost, late or repeated never makes it tell a wrong origin: records of one id are joined,
 * and an id with two origins has none.
 */
import {type KnownOrigin, type OriginRecord, type StreamOrigin} from './types.js';

/** Most streams that are remembered. A flood of further ones is not recorded, so that it drops none that its caller may come back for. */
export const maxOriginRecords = 20_000;

/** Origins of one id that are kept: two show that it is ambiguous. */
const maxOriginsPerKey = 2;

export type OriginLedger = Map<string, OriginRecord>;

export const makeOriginLedger = (): OriginLedger => new Map();

const isSameOrigin = (left: StreamOrigin, right: StreamOrigin): boolean => left.service === right.service && left.softwareVersion === right.softwareVersion;

const joinOrigins = (left: readonly StreamOrigin[], right: readonly StreamOrigin[]): readonly StreamOrigin[] => {
	const added = right.filter(origin => !left.some(known => isSameOrigin(known, origin)));
	return added.length === 0 ? left : [...left, ...added].slice(0, maxOriginsPerKey);
};

/** Joins a record with what is known of its stream. */
export const joinRecords = (known: OriginRecord, record: OriginRecord): OriginRecord => ({
	key: known.key,
	origins: joinOrigins(known.origins, record.origins),
	begunAt: Math.min(known.begunAt, record.begunAt),
	expiresAt: Math.max(known.expiresAt, record.expiresAt),
});

/** Drops the records whose time has passed. */
export const expireOrigins = (ledger: OriginLedger, now: number): void => {
	for (const [key, {expiresAt}] of ledger) {
		if (expiresAt <= now) {
			ledger.delete(key);
		}
	}
};

/** `full`: the record was not taken. */
export type RecordResult = 'recorded' | 'full' | 'expired';

/** Adds a record, or joins it with that of the same stream. */
export const recordOrigin = (ledger: OriginLedger, record: OriginRecord, now: number): RecordResult => {
	if (record.expiresAt <= now) {
		return 'expired';
	}

	const known = ledger.get(record.key);
	if (known !== undefined && known.expiresAt > now) {
		ledger.set(record.key, joinRecords(known, record));
		return 'recorded';
	}

	if (known === undefined && ledger.size >= maxOriginRecords) {
		expireOrigins(ledger, now);
		if (ledger.size >= maxOriginRecords) {
			return 'full';
		}
	}

	ledger.set(record.key, record);
	return 'recorded';
};

/** Returns what a record tells of its stream. */
export const readOrigin = (record: OriginRecord | undefined): KnownOrigin => {
	const [origin, ...others] = record?.origins ?? [];
	if (record === undefined || origin === undefined) {
		return {kind: 'unknown'};
	}

	return others.length > 0 ? {kind: 'ambiguous'} : {kind: 'known', origin, begunAt: record.begunAt};
};

/** Returns the record of a stream that may still be taken up. */
export const findOriginRecord = (ledger: OriginLedger, key: string, now: number): OriginRecord | undefined => {
	const record = ledger.get(key);
	return record !== undefined && record.expiresAt > now ? record : undefined;
};
