/** Tracks the state of all backend servers and selects one for each call. */
import {setMaxListeners} from 'node:events';
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {leavingGraceMs} from '@shallotpass/common/constants.js';
import {type InstanceList} from '@shallotpass/common/instance-list.js';
import {adaptConcurrency, makeConcurrencyLimit, type ConcurrencyLimit} from '@shallotpass/core/admission/adapt-concurrency.js';
import {
	countCachedBlocks,
	removeBlocks,
	removeBackend,
	listHolders,
	makeKnownPrefixes,
	recordPrefix,
} from '@shallotpass/core/routing/known-prefixes.js';
import {
	isSlowedByLoad, updateSpeed, defaultSpeed, type SpeedSample,
} from '@shallotpass/core/routing/speed-estimate.js';
import {chooseLowestCost} from '@shallotpass/core/routing/policies.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {
	type BackendView, type LoadReport, type RoutedCall, type RoutingPolicy,
} from '@shallotpass/core/routing/types.js';
import {type Environment} from './environment.js';
import {findPrice, listConfiguredBackends, type ActiveConfigurations} from './active-configurations.js';
import {type BackendRegistry, type CallStart} from './types.js';

/** Whether the backend server was first found in a configuration or in the instance list. */
type Origin = 'configuration' | 'list';

type Entry = {
	view: BackendView;
	readonly origin: Origin;
	/** Announced time of the removal, if known. */
	leavesAt: number | undefined;
	/** Aborted when the calls that run on the backend server must move to another one. */
	leaving: AbortController;
	/** Send times of this daemon's calls that the newest load report does not include. */
	sentTimes: number[];
	concurrency: ConcurrencyLimit;
};

type RegistryOptions = {
	readonly environment: Environment;
	readonly policy?: RoutingPolicy;
};

/** Used for calls to plain services, which have no prompt. */
const defaultCallStart: CallStart = {promptTokens: 0, isUrgent: false};

/** How long a backend server gets no new calls after a failure. */
const avoidanceMs = 1000;

/** How long before the removal of a backend server its streams are moved. */
const moveMarginMs = 1500;

/** Number of cached prompt blocks remembered per backend server. */
const maxKnownBlocks = 20_000;

/** Number of recent send times kept per backend server, to count the calls that a load report does not include yet. */
const maxRecordedSends = 1024;

/** Creates a controller without a listener limit, because every call that runs on the backend server listens to its signal. */
const makeLeavingController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

export const makeBackendRegistry = ({environment, policy = chooseLowestCost}: RegistryOptions): BackendRegistry => {
	const {clock, random, metrics, signal} = environment;
	const maxRunning = environment.settings.limits.maxRunningPerBackend;
	const logger = environment.makeLogger('backends');
	const entries = new Map<string, Entry>();
	const prefixes = makeKnownPrefixes(maxKnownBlocks);
	const leavingNotices = new Map<string, number | undefined>();
	let activeConfigurations: ActiveConfigurations | undefined;
	let instanceList: InstanceList | undefined;

	/** Aborts the entry's `leaving` signal shortly before the backend server is removed, so that its calls move to another one. */
	const scheduleMove = async (entry: Entry): Promise<void> => {
		const {leavesAt} = entry;
		if (leavesAt === undefined) {
			return;
		}

		const {leaving} = entry;
		try {
			await clock.waitUntil(Math.max(clock.now(), leavesAt - moveMarginMs) as never, signal);
		} catch {
			return;
		}

		// The controller is replaced if the backend server is no longer leaving.
		if (entry.leaving === leaving) {
			leaving.abort();
		}
	};

	const setLeaving = (entry: Entry, leavesAt: number | undefined): void => {
		const hasChanged = !entry.view.isLeaving || entry.leavesAt !== leavesAt;
		entry.view = {...entry.view, isLeaving: true};
		if (!hasChanged) {
			return;
		}

		entry.leavesAt = leavesAt ?? entry.leavesAt;
		logger.info('backend_leaving', {backend: entry.view.id, leavesAt});
		void scheduleMove(entry);
	};

	type BackendDescription = Pick<BackendView, 'id' | 'address' | 'availabilityZone' | 'machineClass' | 'services' | 'checksFencing'>;

	const upsertEntry = (description: BackendDescription, origin: Origin): Entry => {
		const price = activeConfigurations === undefined ? 0 : findPrice(activeConfigurations, description.availabilityZone, description.machineClass);
		const existing = entries.get(description.id);
		if (existing?.view.address === description.address) {
			existing.view = {...existing.view, ...description, price};
			return existing;
		}

		// The same id at a different address is a new process with an empty cache.
		removeBackend(prefixes, description.id);
		const entry: Entry = {
			view: {
				...description, idHash: hashText(description.id), price, isLeaving: false, avoidUntil: 0, running: 0, sentSinceReport: 0, speed: defaultSpeed, pendingTokens: 0, urgentCalls: 0, cacheTokens: 0, limit: maxRunning,
			},
			origin,
			leavesAt: undefined,
			leaving: makeLeavingController(),
			sentTimes: [],
			concurrency: makeConcurrencyLimit(maxRunning),
		};
		entries.set(description.id, entry);
		return entry;
	};

	const removeEntry = (id: string): void => {
		entries.delete(id);
		removeBackend(prefixes, id);
	};

	const updateMetrics = (): void => {
		const views = [...entries.values()].map(entry => entry.view);
		metrics.backends.set({state: 'live'}, views.filter(view => !view.isLeaving).length);
		metrics.backends.set({state: 'leaving'}, views.filter(view => view.isLeaving).length);
	};

	const rebuild = (): void => {
		const present = new Set<string>();
		for (const backend of activeConfigurations === undefined ? [] : listConfiguredBackends(activeConfigurations)) {
			const {id, address, availabilityZone, machineClass, serviceIds, checksFencing} = backend;
			present.add(id);
			upsertEntry({
				id, address, availabilityZone, machineClass, services: serviceIds, checksFencing,
			}, 'configuration');
		}

		for (const instance of instanceList?.instances ?? []) {
			if (instance.role !== 'backend') {
				continue;
			}

			const {id, address, availabilityZone, machineClass, services} = instance;
			const configured = present.has(id) ? entries.get(id) : undefined;
			present.add(id);
			const entry = configured ?? upsertEntry({
				id, address, availabilityZone, machineClass, services, checksFencing: false,
			}, 'list');
			if (instance.state === 'leaving') {
				setLeaving(entry, instance.leavesAt);
			} else if (!leavingNotices.has(id) && entry.view.isLeaving) {
				entry.view = {...entry.view, isLeaving: false};
				entry.leavesAt = undefined;
				entry.leaving = makeLeavingController();
			}
		}

		for (const [id, leavesAt] of leavingNotices) {
			const entry = entries.get(id);
			if (entry !== undefined) {
				setLeaving(entry, leavesAt);
			}

			// The instance list can lag behind a notice, so a notice is kept for some time after the announced removal.
			if (leavesAt !== undefined && clock.now() > leavesAt + (leavingGraceMs * 10)) {
				leavingNotices.delete(id);
			}
		}

		for (const id of entries.keys()) {
			if (!present.has(id)) {
				removeEntry(id);
			}
		}

		updateMetrics();
	};

	const updateView = (id: string, update: (view: BackendView) => BackendView): void => {
		const entry = entries.get(id);
		if (entry !== undefined) {
			entry.view = update(entry.view);
		}
	};

	return {
		applyConfigurations(next) {
			activeConfigurations = next;
			rebuild();
		},
		applyInstanceList(list) {
			instanceList = list;
			rebuild();
		},
		applyLeavingNotice(id, leavesAt) {
			leavingNotices.set(id, leavesAt);
			rebuild();
		},
		applyLoadReport(id, load) {
			const entry = entries.get(id);
			if (entry === undefined || (entry.view.report?.at ?? 0) > load.at) {
				return;
			}

			entry.sentTimes = entry.sentTimes.filter(sentAt => sentAt > load.at);
			entry.view = {
				...entry.view, report: load, sentSinceReport: entry.sentTimes.length, cacheTokens: Math.max(entry.view.cacheTokens, load.cachedTokens ?? 0),
			};
		},
		applyCacheEvents(id, events) {
			if (!entries.has(id)) {
				return;
			}

			for (const {kind, blocks} of events) {
				(kind === 'stored' ? recordPrefix : removeBlocks)(prefixes, id, blocks);
			}
		},
		clearCachedPrefixes(id) {
			removeBackend(prefixes, id);
		},
		choose(call) {
			return policy({
				call,
				backends: [...entries.values()].map(entry => entry.view),
				findBackend: id => entries.get(id)?.view,
				countCachedBlocks: (id, prefixHashes) => countCachedBlocks(prefixes, id, prefixHashes),
				listHolders: hash => listHolders(prefixes, hash),
				random,
			});
		},
		begin(id, start) {
			const {promptTokens, isUrgent} = start ?? defaultCallStart;
			const entry = entries.get(id);
			if (entry === undefined) {
				return;
			}

			entry.sentTimes = [...entry.sentTimes.slice(-maxRecordedSends), clock.now()];
			const {view} = entry;
			entry.view = {
				...view, running: view.running + 1, pendingTokens: view.pendingTokens + promptTokens, urgentCalls: view.urgentCalls + (isUrgent ? 1 : 0), sentSinceReport: view.report === undefined ? 0 : view.sentSinceReport + 1,
			};
			metrics.running.inc();
		},
		recordPromptPrefilled(id, promptTokens) {
			updateView(id, view => ({...view, pendingTokens: Math.max(0, view.pendingTokens - promptTokens)}));
		},
		end(id, isUrgent = false) {
			updateView(id, view => ({...view, running: Math.max(0, view.running - 1), urgentCalls: Math.max(0, view.urgentCalls - (isUrgent ? 1 : 0))}));
			metrics.running.dec();
		},
		recordSpeedSample(id, sample, prefixHashes) {
			const entry = entries.get(id);
			if (entry === undefined) {
				return;
			}

			entry.concurrency = adaptConcurrency(entry.concurrency, {
				now: clock.now(), running: entry.view.running, isOverloaded: isSlowedByLoad(entry.view.speed, sample) || (entry.view.report?.queued ?? 0) > 0, maxConcurrency: maxRunning,
			});
			entry.view = {...entry.view, speed: updateSpeed(entry.view.speed, sample), limit: entry.concurrency.limit};
			recordPrefix(prefixes, id, prefixHashes);
		},
		avoid(id) {
			updateView(id, view => ({...view, avoidUntil: clock.now() + avoidanceMs}));
		},
		list: () => [...entries.values()].map(entry => entry.view),
		getView: id => entries.get(id)?.view,
		countCachedBlocks: (id, prefixHashes) => countCachedBlocks(prefixes, id, prefixHashes),
		getLeavingSignal: id => entries.get(id)?.leaving.signal,
		isLeaving: id => entries.get(id)?.view.isLeaving ?? true,
		countServing(serviceId) {
			let count = 0;
			for (const {view} of entries.values()) {
				if (!view.isLeaving && view.services.includes(serviceId)) {
					count++;
				}
			}

			return count;
		},
		countSlots(serviceId) {
			let slots = 0;
			for (const {view} of entries.values()) {
				slots += !view.isLeaving && view.services.includes(serviceId) ? view.limit : 0;
			}

			return Math.floor(slots);
		},
	};
};
