/** Digest of the directory. Two daemons compare it to find out, without sending the list, whether they know the same backend servers. */
import {hashText64} from '../routing/rank-by-rendezvous.js';
import {type Directory, type KnownBackend} from './types.js';

/** Serializes what calls and orders depend on. The rest is left out: an entry is rewritten each second as a heartbeat, which changes only that. */
const serializeBackend = ({entry, missingUntil}: KnownBackend): string => {
	const fields = [entry.id, entry.startedAt, entry.softwareVersion, entry.address, entry.service, entry.availabilityZone, entry.places, entry.isLeaving, entry.isReclaimable].join(' ');
	return missingUntil === undefined ? fields : `${fields} missing`;
};

/** Computes a digest that is equal for directories with the same backend servers in the same state, independent of record offsets. */
export const digestDirectory = ({backends}: Directory): string => {
	const lines = [...backends.values()].map(known => serializeBackend(known)).toSorted();
	return hashText64(lines.join('\n')).toString(16);
};
