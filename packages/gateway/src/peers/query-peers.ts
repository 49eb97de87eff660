/**
 * Keeps this daemon's copy of the shared state (configuration, backend servers, members) up to date by querying
 * other daemons by JSON-RPC.
 */
import {type StoreVersions} from '@shallotpass/core/gossip/gossip-report.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {applyConfiguration, getConfigurationStaleMs} from '../store/follow-configuration.js';
import {getDirectoryPollMs} from '../store/follow-directory.js';
import {callPeer} from './call-peer.js';
import {decodeSharedState} from './decode-shared-state.js';
import {makePeerRefusalReporter, type PeerRefusalReporter} from './report-refused.js';
import {
	ageSharedState, type SharedState, type SharedStateOptions, type SharedStateQuery,
} from './shared-state.js';
import {isStale, makeSourceLogger} from './store-reading.js';

const queryIntervalMs = 300;

/** Time beyond the usual age after which state that no report has confirmed is requested from a peer. */
const unconfirmedMarginMs = 500;

/** Share of queries that go to the best source. The rest go to other sources, so that an outdated best source is detected. */
const bestSourceShare = 0.8;

type FetchOptions = {
	readonly address: string;
	readonly query: SharedStateQuery;
	readonly reportRefused: PeerRefusalReporter;
};

const fetchSharedState = async ({address, query, reportRefused}: FetchOptions): Promise<SharedState | undefined> => {
	const result = await callPeer(address, {method: 'shared_state', params: query});
	return result === undefined
		? undefined
		: decodeSharedState(result, field => {
			reportRefused('shared_state', address, field);
		});
};

/** Renews the age of this daemon's state wherever the peer holds the same state. */
const confirmFreshness = ({gateway, directory}: SharedStateOptions, known: Omit<StoreVersions, 'members'>, address: string): void => {
	const version = gateway.configuration?.configuration.version ?? -1;
	const standingMs = gateway.loop.getStandingMs();
	if (known.configurationVersion === version) {
		gateway.configurationCheckedAt = Math.max(gateway.configurationCheckedAt, gateway.clocks.steady() - known.configurationAgeMs - standingMs);
	}

	if (known.directoryDigest === directory.read().digest) {
		directory.confirm(known.directoryNext, known.directoryAgeMs + standingMs, address);
	}
};

const applySharedState = (options: SharedStateOptions, state: SharedState, address: string): void => {
	const {directory, members, onConfiguration} = options;
	for (const member of state.members ?? []) {
		members.add(member);
	}

	if (state.configuration !== undefined && applyConfiguration(options.gateway, state.configuration, 'peer')) {
		onConfiguration();
	}

	if (state.backends !== undefined) {
		directory.adoptFromPeer({backends: state.backends, next: state.directoryNext}, state.directoryAgeMs, address);
	}

	confirmFreshness(options, state, address);
};

const listPeerAddresses = (gateway: GatewayState): string[] => {
	const since = gateway.clocks.steady() - peerExpiryMs;
	const addresses = [...gateway.peers.values()].filter(peer => peer.receivedAt >= since).map(peer => peer.address);
	const seeds = gateway.settings.peers.seeds.filter(address => address !== gateway.settings.listen.peers);
	return addresses.length > 0 ? addresses : seeds;
};

const listSources = (options: SharedStateOptions): readonly string[] => {
	const {rank, sources} = options.getStoreRole();
	return rank > 0 && !isStale(options) ? sources : listPeerAddresses(options.gateway);
};

const pickSource = (sources: readonly string[], random: () => number): string | undefined =>
	random() < bestSourceShare ? sources[0] : sources[Math.floor(random() * sources.length)];

/** Whether recent reports confirm that this daemon's state is up to date. */
const isUpToDate = ({gateway, directory}: SharedStateOptions): boolean => {
	const {bounds} = gateway.settings;
	const configurationAge = gateway.clocks.steady() - gateway.configurationCheckedAt;
	return configurationAge < getConfigurationStaleMs(bounds) && directory.read().ageMs < getDirectoryPollMs(bounds) + unconfirmedMarginMs;
};

const queryPeer = async (options: SharedStateOptions, address: string, reportRefused: PeerRefusalReporter): Promise<void> => {
	const {gateway, directory, members} = options;
	const requestedAt = gateway.clocks.steady();
	const state = await fetchSharedState({
		address,
		query: {
			configurationVersion: gateway.configuration?.configuration.version ?? -1,
			directoryNext: directory.read().directory.next,
			directoryDigest: directory.read().digest,
			members: members.list().length,
		},
		reportRefused,
	});
	if (state !== undefined) {
		applySharedState(options, ageSharedState(state, gateway.clocks.steady() - requestedAt), address);
	}
};

export type PeerQuerier = {
	/** Compares a peer's state with this daemon's, and queries the peer if it has newer state. */
	readonly handleStoreVersions: (known: StoreVersions, address: string) => void;
};

/** Queries the daemons that read the store on behalf of this one for new state, or any peer while this daemon's state is stale. */
export const startPeerQueries = (options: SharedStateOptions): PeerQuerier => {
	const {gateway, directory, signal} = options;
	const logSource = makeSourceLogger(options);
	const reportRefused = makePeerRefusalReporter(gateway.log);
	let isQuerying = false;
	const queryUnlessBusy = async (address: string): Promise<void> => {
		if (!isQuerying) {
			isQuerying = true;
			await queryPeer(options, address, reportRefused);
			isQuerying = false;
		}
	};

	const queryWhileOutOfDate = async (): Promise<void> => {
		while (!signal.aborted) {
			logSource();
			// eslint-disable-next-line no-await-in-loop -- rounds are sequential
			await pauseFor(queryIntervalMs, signal);
			const address = isUpToDate(options) ? undefined : pickSource(listSources(options), gateway.random);
			if (address !== undefined) {
				// eslint-disable-next-line no-await-in-loop -- rounds are sequential
				await queryUnlessBusy(address);
			}
		}
	};

	void queryWhileOutOfDate();
	return {
		handleStoreVersions(known, address) {
			confirmFreshness(options, known, address);
			const isNewer = known.configurationVersion > (gateway.configuration?.configuration.version ?? -1)
				|| known.members > options.members.list().length
				|| (known.directoryNext > directory.read().directory.next && known.directoryDigest !== directory.read().digest);
			if (isNewer) {
				void queryUnlessBusy(address);
			}
		},
	};
};
