/** Polls load reports and cache events of the model engines that are assigned to this daemon. */
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {readCacheEvents} from '@shallotpass/backends/engine-events.js';
import {readLoad} from '@shallotpass/backends/engine-load.js';
import {rankByRendezvous} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type Dispatcher} from 'undici';
import {type BackendRegistry} from './types.js';
import {type Environment} from './environment.js';

type LoadReportOptions = {
	readonly environment: Environment;
	readonly registry: BackendRegistry;
	readonly dispatcher: Dispatcher;
	/** Whether the backend server runs a model service. */
	readonly isEngine: (serviceIds: readonly string[]) => boolean;
	/** Lists the members of this availability zone, including this daemon. */
	readonly listZoneMembers: () => readonly string[];
};

const pollIntervalMs = 1000;

/**
 * With more engines than this, each is polled half as often. At the full rate the load reports
 * alone would use up the daemon's budget for control traffic.
 */
const maxEnginesAtFullRate = 8;

/** Up to this many engines, every daemon polls all of them. With more, each daemon polls only the engines assigned to it. */
const maxEnginesPolledByAll = 16;

/** Number of daemons that poll the same engine, so that reports continue when one of them fails. */
const pollersPerEngine = 2;

export const runLoadReports = async (options: LoadReportOptions): Promise<void> => {
	const {environment, registry, dispatcher} = options;
	const {clock, signal, settings} = environment;

	const listEngines = () => registry.list().filter(view => options.isEngine(view.services));

	/**
	 * Whether this daemon polls all engines. Only then are cache events read: they cover every prompt,
	 * and with many engines they would exceed all other control traffic.
	 */
	const pollsEveryEngine = (): boolean => listEngines().length <= maxEnginesPolledByAll;

	const listAssignedEngines = (): string[] => {
		const engines = listEngines();
		if (pollsEveryEngine()) {
			return engines.map(view => view.id);
		}

		const members = options.listZoneMembers();
		return engines
			.filter(view => view.availabilityZone === settings.instance.availabilityZone)
			.filter(view => rankByRendezvous(view.id, members).slice(0, pollersPerEngine).includes(settings.instance.id))
			.map(view => view.id);
	};

	const readLoadReport = async (id: string): Promise<void> => {
		const view = registry.getView(id);
		if (view === undefined) {
			return;
		}

		try {
			registry.applyLoadReport(id, await readLoad(view.address, dispatcher, signal));
		} catch {
			// Without a load report, routing relies on the calls that this daemon sent to the engine.
		}
	};

	/** Sequence number of the next cache event to read, by engine address. */
	const nextEventByAddress = new Map<string, number>();

	const readEngineCacheEvents = async (id: string): Promise<void> => {
		const view = registry.getView(id);
		if (view === undefined) {
			return;
		}

		const from = nextEventByAddress.get(view.address) ?? 0;
		try {
			const {events, next} = await readCacheEvents(view.address, from, dispatcher, signal);
			nextEventByAddress.set(view.address, next);
			// A lower sequence number means that the engine has restarted with an empty cache.
			if (next < from) {
				registry.clearCachedPrefixes(id);
				nextEventByAddress.delete(view.address);
			}

			registry.applyCacheEvents(id, events);
		} catch {
			// Without cache events, the cache contents are estimated from the calls that this daemon sent to the engine.
		}
	};

	const dropRemovedEngines = (): void => {
		const addresses = new Set(listEngines().map(view => view.address));
		for (const address of nextEventByAddress.keys()) {
			if (!addresses.has(address)) {
				nextEventByAddress.delete(address);
			}
		}
	};

	while (!signal.aborted) {
		dropRemovedEngines();
		const assigned = listAssignedEngines();
		const pauseMs = assigned.length > maxEnginesAtFullRate ? pollIntervalMs * 2 : pollIntervalMs;
		await Promise.all(assigned.map(async id => readLoadReport(id))); // eslint-disable-line no-await-in-loop
		await Promise.all(pollsEveryEngine() ? assigned.map(async id => readEngineCacheEvents(id)) : []); // eslint-disable-line no-await-in-loop
		await waitUntilOrAborted(clock, addMilliseconds(clock.now(), pauseMs), signal); // eslint-disable-line no-await-in-loop
	}
};
