/** Picks the daemon through which a call is sent that reaches no backend server from here. */
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {isSum} from '@shallotpass/core/gossip/gossip-report.js';
import {choosePeer, type PeerCandidate} from '@shallotpass/core/paths/choose-peer.js';
import {type GatewayState} from '../gateway-state.js';

/** A daemon whose last report is older than this may be unreachable itself: three gossip rounds. */
const freshMs = 1000;

export type PeerNeeds = {
	/** Peers that were tried for this call. */
	readonly triedAddresses: ReadonlySet<string>;
	/** Whether the peer must continue a stream at the version that began it, which daemons of earlier versions don't. */
	readonly keepsOrigins: boolean;
};

/** Lists daemons that are not cut off, know how to serve a peer's call, and were not tried for this call. */
const listPeerCandidates = (gateway: GatewayState, {triedAddresses, keepsOrigins}: PeerNeeds): PeerCandidate[] => {
	const now = gateway.clocks.steady();
	const {sent, avoidedUntil} = gateway.peerCalls;
	const ownAddress = gateway.settings.listen.peers;
	const isUsable = (address: string): boolean => address !== ownAddress && !triedAddresses.has(address) && (avoidedUntil.get(address) ?? 0) <= now;
	const countInFlight = (address: string): number => sent.get(address) ?? 0;
	const members = gateway.listMembers();
	if (needsRelays(members.length)) {
		// Daemons report to relays only, so nothing is known of their load.
		return members.filter(member => member.takesCalls === true && (!keepsOrigins || member.keepsOrigins === true) && isUsable(member.address))
			.map(({address, availabilityZone}) => ({
				address, availabilityZone, room: undefined, inFlight: countInFlight(address),
			}));
	}

	return [...gateway.peers.values()]
		.filter(report => !isSum(report) && report.receivedAt >= now - freshMs && report.peerCalls !== undefined && (!keepsOrigins || report.keepsOrigins === true) && !report.peerCalls.isCutOff && isUsable(report.address))
		.map(({address, availabilityZone, peerCalls}) => ({
			address, availabilityZone, room: peerCalls!.room, inFlight: countInFlight(address),
		}));
};

export const pickPeer = (gateway: GatewayState, needs: PeerNeeds): PeerCandidate | undefined => {
	const now = gateway.clocks.steady();
	const avoidedZones = new Set([...gateway.peerCalls.avoidedZonesUntil].filter(([, until]) => until > now).map(([zone]) => zone));
	return choosePeer(listPeerCandidates(gateway, needs), {ownZone: gateway.settings.instance.availabilityZone, avoidedZones, random: gateway.random});
};
