/** Determines this daemon's role in reading the platform's store from the reports of the other daemons. */
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {
	computeStoreRole, isReadingStore, type ReportingMember, type StoreRole,
} from '@shallotpass/core/gossip/store-role.js';
import {type GatewayState, type PeerReport} from '../gateway-state.js';
import {getDirectoryPollMs} from '../store/follow-directory.js';

/** Peers that reported within this time can read the store for all. The time covers three rounds and one late report. */
const readerTimeoutMs = 1000;

/** Time for which a computed role is cached. Roles are requested many times a second. */
const roleCacheMs = 100;

export type StoreRoleOptions = {
	readonly gateway: GatewayState;
	readonly self: GossipMember;
	/** Returns the relays that this daemon asks, or undefined if daemons report directly to each other. */
	readonly listRelays: () => readonly GossipMember[] | undefined;
};

/** Returns a function that gives the current role. */
export const makeStoreRoleFinder = ({gateway, self, listRelays}: StoreRoleOptions): (() => StoreRole) => {
	const now = (): number => gateway.clocks.steady();

	const toReportingMember = ({id, address, availabilityZone, linkMbps, known, receivedAt}: PeerReport): ReportingMember => {
		const lastAnswerMs = (known.storeAnswerAgeMs ?? 0) + now() - receivedAt;
		const pollMs = getDirectoryPollMs(gateway.settings.bounds);
		return {
			id, address, availabilityZone, linkMbps, isReading: isReadingStore(lastAnswerMs, pollMs),
		};
	};

	const findRole = (): StoreRole => {
		const since = now() - readerTimeoutMs;
		const reporting = [...gateway.peers.values()].filter(peer => peer.receivedAt >= since).map(peer => toReportingMember(peer));
		const relays = listRelays();
		return relays === undefined
			? computeStoreRole({self, reporting, relays: []})
			: computeStoreRole({self, reporting: reporting.filter(peer => peer.availabilityZone !== self.availabilityZone), relays});
	};

	let role = findRole();
	let foundAt = now();
	return () => {
		if (now() >= foundAt + roleCacheMs) {
			role = findRole();
			foundAt = now();
		}

		return role;
	};
};
