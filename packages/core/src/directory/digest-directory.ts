/** Digest with which two daemons find out whether they know the same backend servers without sending the list. */
import {hashText64} from '../routing/rank-by-rendezvous.js';
import {type BackendEntry, type Directory} from './types.js';

/** Serializes the fields that calls and orders depend on. The other fields change each second, when an entry is rewritten as a heartbeat. */
const serializeEntry = (entry: BackendEntry): string => [
	entry.id, entry.startedAt, entry.address, entry.service, entry.availabilityZone, entry.places, entry.isLeaving, entry.isReclaimable,
].join(' ');

/** Computes a digest that is equal for directories with the same backend servers in the same state, independent of record offsets. */
export const digestDirectory = ({backends}: Directory): string => {
	const lines = [...backends.values()].map(({entry}) => serializeEntry(entry)).toSorted();
	return hashText64(lines.join('\n')).toString(16);
};
