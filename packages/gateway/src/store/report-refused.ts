/** Logs records of the store that cannot be used. Their writers repeat them, each second at times, so a record is logged once. */
import {type EventLog} from '../telemetry/event-log.js';
import {type KeyedRecord, type Topic} from '../ports.js';

/** Keys whose last refusal is remembered. Beyond that, the rate limit of the log bounds the lines. */
const maxRememberedKeys = 256;

const maxLoggedKeyLength = 64;

export type RefusalReporter = (record: KeyedRecord, field: string) => void;

/** Makes what logs refused records of the topic: each key again only if another field of its record is refused. */
export const makeRefusalReporter = (log: EventLog, topic: Topic): RefusalReporter => {
	const fieldsByKey = new Map<string, string>();
	return ({key, offset}, field) => {
		if (fieldsByKey.get(key) === field) {
			return;
		}

		if (fieldsByKey.size >= maxRememberedKeys) {
			fieldsByKey.delete(fieldsByKey.keys().next().value!);
		}

		fieldsByKey.set(key, field);
		log.write('routine', 'entry_refused', {
			topic, key: key.slice(0, maxLoggedKeyLength), field, offset,
		});
	};
};
