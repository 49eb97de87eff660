/** Logs records of the store that cannot be used. Their writers repeat them, each second at times, so each field of a key is logged once. */
import {type EventLog} from '../telemetry/event-log.js';
import {makeFirstTimeCheck} from '../telemetry/first-time-check.js';
import {type KeyedRecord, type Topic} from '../ports.js';

const maxLoggedKeyLength = 64;

export type RefusalReporter = (record: KeyedRecord, field: string) => void;

/** Makes what logs refused records of the topic. */
export const makeRefusalReporter = (log: EventLog, topic: Topic): RefusalReporter => {
	const isFirstTime = makeFirstTimeCheck();
	return ({key, offset}, field) => {
		if (isFirstTime(`${key} ${field}`)) {
			log.write('routine', 'entry_refused', {
				topic, key: key.slice(0, maxLoggedKeyLength), field, offset,
			});
		}
	};
};
