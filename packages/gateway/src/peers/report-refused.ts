/** Logs messages of other daemons that cannot be used. Daemons repeat theirs several times a second, so each kind is logged once for a sender. */
import {type EventLog} from '../telemetry/event-log.js';
import {makeFirstTimeCheck} from '../telemetry/first-time-check.js';

const maxLoggedLength = 64;

export type PeerRefusalReporter = (method: string, address: string, field: string) => void;

export const makePeerRefusalReporter = (log: EventLog): PeerRefusalReporter => {
	const isFirstTime = makeFirstTimeCheck();
	return (method, address, field) => {
		if (isFirstTime([method, address, field].join(' '))) {
			log.write('routine', 'peer_message_refused', {method, address: address.slice(0, maxLoggedLength), field});
		}
	};
};
