/** Monitors the relays of this daemon's zone. A silent relay is skipped for a while, and the next one becomes active. */
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {type GatewayState} from '../gateway-state.js';

/** A relay that receives reports but sends none for this long is skipped, and used again after the second delay. */
const relayTimeoutMs = 1500;
const skipRelayMs = 8000;

/** An active relay sends reports every 0.3 s. After three missed intervals it counts as inactive. */
const activeRelayTimeoutMs = 900;

export type RelayMonitor = {
	readonly recordReport: (address: string) => void;
	/** Whether the relay is skipped because it was silent. */
	readonly isSkipped: (address: string) => boolean;
	/** Skips the first relay if it receives reports but sends none. */
	readonly checkFirstRelay: (first: GossipMember | undefined) => void;
	/** Returns the zone's active relay. The second relay is active only while the first one is not. */
	readonly findActiveRelay: (relays: readonly GossipMember[]) => GossipMember | undefined;
};

export const makeRelayMonitor = (gateway: GatewayState, ownAddress: string): RelayMonitor => {
	/** Address of the preferred relay, and since when it is preferred. */
	let preferredRelay: string | undefined;
	let preferredSince = 0;
	const receivedAt = new Map<string, number>();
	const skippedUntil = new Map<string, number>();
	const now = (): number => gateway.clocks.steady();
	return {
		recordReport(address) {
			receivedAt.set(address, now());
		},
		isSkipped: address => (skippedUntil.get(address) ?? 0) > now(),
		checkFirstRelay(first) {
			if (first?.address !== preferredRelay) {
				preferredRelay = first?.address;
				preferredSince = now();
			}

			if (first === undefined || first.address === ownAddress) {
				return;
			}

			// The second relay stays silent while it receives reports from the first, so only the first is checked,
			// and only for the time since it became the preferred one.
			const silentMs = now() - Math.max(preferredSince, receivedAt.get(first.address) ?? 0);
			if (silentMs > relayTimeoutMs) {
				skippedUntil.set(first.address, now() + skipRelayMs);
				gateway.log.write('state', 'relay_passed_over', {address: first.address, silentMs: Math.round(silentMs)});
			}
		},
		findActiveRelay: relays => relays.find(({address}) => address === ownAddress || (receivedAt.get(address) ?? 0) >= now() - activeRelayTimeoutMs),
	};
};
