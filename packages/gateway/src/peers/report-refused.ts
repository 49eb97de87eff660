/** Logs messages of other daemons that cannot be used. Daemons repeat theirs several times a second, so each kind is logged once for a sender. */
import {type EventLog} from '../telemetry/event-log.js';

/** Beyond that, the rate limit of the log bounds the lines. */
const maxRemembered = 256;

const maxLoggedLength = 64;

export type PeerRefusalReporter = (method: string, address: string, field: string) => void;

export const makePeerRefusalReporter = (log: EventLog): PeerRefusalReporter => {
	const reported = new Set<string>();
	return (method, address, field) => {
		const name = [method, address, field].join(' ');
		if (reported.has(name)) {
			return;
		}

		if (reported.size >= maxRemembered) {
			reported.delete(reported.keys().next().value!);
		}

		reported.add(name);
		log.write('routine', 'peer_message_refused', {method, address: address.slice(0, maxLoggedLength), field});
	};
};
