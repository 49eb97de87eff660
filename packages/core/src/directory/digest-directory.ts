/** Digest of the directory. Two daemons compare it to find out, without sending the list, whether they know the same backend servers. */
import {hashText64} from '../routing/rank-by-rendezvous.js';
import {type BackendEntry, type Directory} from './types.js';

/** Serializes the fields that calls and orders depend on. The others are left out: an entry is rewritten each second as a heartbeat, which changes only them. */
const serializeEntry = (entry: BackendEntry): string => [
	entry.id, entry.startedAt, entry.address, entry.service, entry.availabilityZone, entry.places, entry.isLeaving, entry.isReclaimable,
].join(' ');

/** Computes a digest that is equal for directories with the same backend servers in the same state, independent of record offsets. */
export const digestDirectory = ({backends}: Directory): string => {
	const lines = [...backends.values()].map(({entry}) => serializeEntry(entry)).toSorted();
	return hashText64(lines.join('\n')).toString(16);
};
