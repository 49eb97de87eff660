/** Follows the operators' records in the store: applies the newest version of the configuration and requests for rollouts. A process never returns to an older version. */
import {indexConfiguration} from '@shallotpass/core/calls/index-configuration.js';
import {type ServingConfiguration} from '@shallotpass/core/calls/serving-configuration.js';
import {type GatewaySettings} from '../gateway-settings.js';
import {type GatewayState} from '../gateway-state.js';
import {type KeyedRecord, type Platform} from '../ports.js';
import {adoptRequests} from '../rollouts/adopt-rollouts.js';
import {followTopic} from './follow-topic.js';

export type ConfigurationSource = 'store' | 'peer';

/** Applies a configuration if it is newer than the current one. Returns whether it was applied. */
export const applyConfiguration = (gateway: GatewayState, configuration: ServingConfiguration, source: ConfigurationSource): boolean => {
	const current = gateway.configuration?.configuration.version;
	if (current !== undefined && configuration.version <= current) {
		return false;
	}

	gateway.configuration = indexConfiguration(configuration);
	gateway.log.write('state', 'configuration_taken', {
		version: configuration.version, before: current, source, routes: configuration.routes.length, accounts: configuration.accounts.length,
	});
	return true;
};

/**
 * Share of `stableMs` after which a configuration that has not been confirmed as the newest counts as stale.
 * `stableMs` is the time after a disruption until the bounds must hold again.
 */
const staleShareOfStable = 0.75;

/**
 * Share of `stableMs` for which the store may hold a poll until a record arrives. It is below `staleShareOfStable`, so that the daemon
 * that reads the store confirms its configuration before the daemons that query it consider it stale.
 */
const pollShareOfStable = 0.45;

/** Age at which the configuration counts as stale, so that a peer is queried for a newer one. */
export const getConfigurationStaleMs = (bounds: GatewaySettings['bounds']): number => Math.floor(bounds.stableMs * staleShareOfStable);

const getConfigurationPollMs = (bounds: GatewaySettings['bounds']): number => Math.floor(bounds.stableMs * pollShareOfStable);

export type FollowConfigurationOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	/** Called after a newer configuration from the store was applied. */
	readonly onConfiguration: () => void;
	/** While true, other daemons read the store on behalf of this one, and no calls are made. */
	readonly isPaused: () => boolean;
	readonly getMaxRetryDelayMs: () => number;
	readonly signal: AbortSignal;
};

export const followConfiguration = async ({gateway, platform, onConfiguration, isPaused, getMaxRetryDelayMs, signal}: FollowConfigurationOptions): Promise<void> => {
	let isStoreUnavailable = false;
	const applyRecords = (records: readonly KeyedRecord[]): void => {
		adoptRequests(gateway, records, platform.records);
		const newest = records.findLast(record => record.key === platform.records.configurationKey && record.value !== undefined);
		if (newest?.value === undefined) {
			return;
		}

		const decoded = platform.records.toConfiguration(newest.value);
		if (decoded.kind === 'refused') {
			gateway.log.write('failure', 'configuration_unreadable', {offset: newest.offset, bytes: newest.value.length, field: decoded.field});
			return;
		}

		if (applyConfiguration(gateway, decoded.value, 'store')) {
			onConfiguration();
		}
	};

	await followTopic({
		store: platform.store,
		topic: 'configuration',
		waitMs: getConfigurationPollMs(gateway.settings.bounds),
		minIntervalMs: 0,
		isPaused,
		getMaxRetryDelayMs,
		signal,
		handlers: {
			onListing: applyRecords,
			onRecords: applyRecords,
			onResponse() {
				gateway.configurationCheckedAt = Math.max(gateway.configurationCheckedAt, gateway.clocks.steady() - gateway.loop.getStandingMs());
				if (isStoreUnavailable) {
					isStoreUnavailable = false;
					gateway.log.write('state', 'store_regained', {topic: 'configuration'});
				}
			},
			onFailure(reason) {
				if (!isStoreUnavailable && !signal.aborted) {
					isStoreUnavailable = true;
					gateway.log.write('state', 'store_lost', {topic: 'configuration', reason});
				}
			},
		},
	});
};
