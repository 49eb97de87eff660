/**
 * Limits the loads in a gossip report. With thousands of backend servers, each zone serves its callers with its own
 * servers and shares only their loads: the loads of all would not fit into a datagram, and comparing all of them
 * for each call would take too long.
 */
import {type GossipReport} from './gossip-report.js';

/** The loads of this many backend servers and the rest of a report fit into a UDP datagram of 65 kB. */
const maxSharedBackends = 600;

/** A zone with fewer backend servers keeps using those of other zones. */
const minBackendsInZone = 50;

/** Whether a zone uses only its own backend servers: there are too many to share, and the zone has enough of them. */
export const usesOwnZoneOnly = (backends: number, backendsInZone: number): boolean => backends > maxSharedBackends && backendsInZone >= minBackendsInZone;

/** Returns the report with only the loads of the backend servers that `isWanted` accepts. */
export const filterLoads = (report: GossipReport, isWanted: (backendId: string) => boolean): GossipReport => ({
	...report,
	loads: Object.fromEntries(Object.entries(report.loads).filter(([id]) => isWanted(id))),
});
