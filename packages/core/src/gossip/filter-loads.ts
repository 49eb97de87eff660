/**
 * Limits the loads in a gossip report. With thousands of backend servers, each zone sends its calls to its own servers
 * and shares their loads only within the zone: the loads of all servers would not fit into a datagram, and comparing
 * all of them for each call would take too long.
 */
import {type GossipReport} from './gossip-report.js';

/** The loads of this many backend servers and the rest of a report fit into a UDP datagram of 65 kB. */
const maxSharedBackends = 600;

/** A zone with fewer backend servers than this keeps using those of other zones. */
const minBackendsInZone = 50;

/** Whether a zone uses only its own backend servers: there are too many to share, and the zone has enough of them. */
export const usesOwnZoneOnly = (backendCount: number, backendCountInZone: number): boolean => backendCount > maxSharedBackends && backendCountInZone >= minBackendsInZone;

/** Returns the report with only the loads and limits of the backend servers that `isWanted` accepts. */
export const filterLoads = (report: GossipReport, isWanted: (backendId: string) => boolean): GossipReport => ({
	...report,
	loads: Object.fromEntries(Object.entries(report.loads).filter(([id]) => isWanted(id))),
	limits: Object.fromEntries(Object.entries(report.limits).filter(([id]) => isWanted(id))),
	brittle: Object.fromEntries(Object.entries(report.brittle).filter(([id]) => isWanted(id))),
});
