/** Decides when this daemon reads the platform's store itself, and when other daemons do so on its behalf. */
import {getStaleMarginMs, isReadingStore} from '@shallotpass/core/gossip/store-role.js';
import {getConfigurationStaleMs} from '../store/follow-configuration.js';
import {getDirectoryPollMs} from '../store/follow-directory.js';
import {type SharedStateOptions} from './shared-state.js';

/** When all daemons start for the first time there are no callers yet. Daemons first wait to discover each other, then for the reader to load the state from the store. */
const firstDiscoveryMs = 1500;
const firstLoadMs = 6000;

const isWithinFirstStart = ({gateway}: SharedStateOptions, ms: number): boolean =>
	gateway.settings.instance.firstStart && gateway.clocks.steady() < gateway.startedAt + ms;

/** Whether this daemon's state is so old that its sources must have failed. */
export const isStale = (options: SharedStateOptions): boolean => {
	if (isWithinFirstStart(options, firstLoadMs)) {
		return false;
	}

	const {gateway, directory} = options;
	const {bounds} = gateway.settings;
	const marginMs = getStaleMarginMs(options.getStoreRole());
	const configurationAge = gateway.clocks.steady() - gateway.configurationCheckedAt;
	return configurationAge >= getConfigurationStaleMs(bounds) + marginMs || directory.read().ageMs >= getDirectoryPollMs(bounds) + marginMs;
};

/** Whether this daemon reads the store and knows of no other one that does so in its place. */
const isNeededAsReader = ({gateway, getStoreRole}: SharedStateOptions): boolean => {
	const lastAnswerMs = gateway.clocks.steady() - gateway.directoryStatus.storeAnsweredAt;
	return isReadingStore(lastAnswerMs, getDirectoryPollMs(gateway.settings.bounds)) && !getStoreRole().isReaderKnown;
};

/** Whether other daemons read the store on behalf of this one and keep its state up to date. */
export const isServedByPeers = (options: SharedStateOptions): boolean =>
	isWithinFirstStart(options, firstDiscoveryMs) || (options.getStoreRole().rank > 0 && !isStale(options) && !isNeededAsReader(options));

/** Logs when this daemon starts or stops reading the store itself. */
export const makeSourceLogger = (options: SharedStateOptions): (() => void) => {
	const {gateway, directory} = options;
	let wasServed: boolean | undefined;
	return () => {
		const isServed = isServedByPeers(options);
		if (isServed !== wasServed) {
			const {rank, sources} = options.getStoreRole();
			gateway.log.write('state', 'store_source_changed', {
				isServed, rank, sources,
				configurationAgeMs: Math.round(gateway.clocks.steady() - gateway.configurationCheckedAt),
				directoryAgeMs: Math.round(directory.read().ageMs),
			});
		}

		wasServed = isServed;
	};
};
