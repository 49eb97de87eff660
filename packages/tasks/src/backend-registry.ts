/** Owns what this daemon knows of backend servers and chooses among them. */
import {setMaxListeners} from 'node:events';
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {leavingGraceMs} from '@shallotpass/common/constants.js';
import {type InstanceList} from '@shallotpass/common/instance-list.js';
import {adaptConcurrency, makeConcurrencyLimit, type ConcurrencyLimit} from '@shallotpass/core/admission/adapt-concurrency.js';
import {
	countCachedBlocks,
	dropPrefix,
	forgetBackend,
	listHolders,
	makeKnownPrefixes,
	notePrefix,
} from '@shallotpass/core/routing/known-prefixes.js';
import {
	isSlowedByLoad, learnSpeed, unknownSpeed, type SpeedSample,
} from '@shallotpass/core/routing/learn-speed.js';
import {chooseLowestCost} from '@shallotpass/core/routing/policies.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {
	type BackendView, type LoadReport, type RoutedCall, type RoutingPolicy,
} from '@shallotpass/core/routing/types.js';
import {type Environment} from './environment.js';
import {findPrice, listConfiguredBackends, type InForce} from './in-force.js';

type Origin = 'configuration' | 'list';

type Entry = {
	view: BackendView;
	readonly origin: Origin;
	leavesAt: number | undefined;
	/** Aborted when what runs there must move. */
	leaving: AbortController;
	lastSentAt: number[];
	concurrency: ConcurrencyLimit;
};

/** A call that was sent to a backend server. */
export type CallStart = {
	/** Prompt tokens that it has to read, as far as known. */
	readonly promptTokens: number;
	/** Whether it has a latency target. */
	readonly isUrgent: boolean;
};

export type BackendRegistry = {
	readonly takeConfiguration: (inForce: InForce) => void;
	readonly takeList: (list: InstanceList) => void;
	/** A reclaim notice; calls that run there move before `leavesAt`. */
	readonly noteLeaving: (id: string, leavesAt: number | undefined) => void;
	readonly takeReport: (id: string, report: LoadReport) => void;
	/** What an engine says of its cache; corrects what is known from this daemon's own calls. */
	readonly takeCacheEvents: (id: string, events: readonly CacheEvent[]) => void;
	/** The engine lost its cache. */
	readonly forgetCache: (id: string) => void;
	readonly choose: (call: RoutedCall) => BackendView | undefined;
	readonly begin: (id: string, start?: CallStart) => void;
	/** It has read them. */
	readonly noteRead: (id: string, promptTokens: number) => void;
	readonly end: (id: string, isUrgent?: boolean) => void;
	readonly learn: (id: string, sample: SpeedSample, chain: readonly bigint[]) => void;
	/** Nothing new goes there for a while. */
	readonly avoid: (id: string) => void;
	readonly list: () => BackendView[];
	readonly getView: (id: string) => BackendView | undefined;
	readonly countCached: (id: string, chain: readonly bigint[]) => number;
	/** Aborted when the backend server is about to be taken away. */
	readonly getLeavingSignal: (id: string) => AbortSignal | undefined;
	readonly isLeaving: (id: string) => boolean;
	readonly countServing: (serviceId: string) => number;
	/** Calls of the service that this daemon lets run at once, over all its backend servers. */
	readonly countPlaces: (serviceId: string) => number;
};

type RegistryOptions = {
	readonly environment: Environment;
	readonly policy?: RoutingPolicy;
};

/** A call of a plain service reads no prompt. */
const plainStart: CallStart = {promptTokens: 0, isUrgent: false};

const avoidForMs = 1000;

/** Streams move this long before their backend server is taken away. */
const moveMarginMs = 1500;

const mostKnownBlocks = 20_000;

/** Sent calls that are remembered for correcting a lagging report. */
const mostRememberedSends = 1024;

/** Every call that runs at the backend server listens for it. */
const makeLeavingController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

export const makeBackendRegistry = ({environment, policy = chooseLowestCost}: RegistryOptions): BackendRegistry => {
	const {clock, random, metrics, signal} = environment;
	const mostRunning = environment.settings.limits.maxRunningPerBackend;
	const logger = environment.makeLogger('backends');
	const entries = new Map<string, Entry>();
	const prefixes = makeKnownPrefixes(mostKnownBlocks);
	const noticed = new Map<string, number | undefined>();
	let inForce: InForce | undefined;
	let lastList: InstanceList | undefined;

	const moveLater = async (entry: Entry): Promise<void> => {
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

		if (entry.leaving === leaving) {
			leaving.abort();
		}
	};

	const markLeaving = (entry: Entry, leavesAt: number | undefined): void => {
		const isNews = !entry.view.isLeaving || entry.leavesAt !== leavesAt;
		entry.view = {...entry.view, isLeaving: true};
		if (!isNews) {
			return;
		}

		entry.leavesAt = leavesAt ?? entry.leavesAt;
		logger.info('backend_leaving', {backend: entry.view.id, leavesAt});
		void moveLater(entry);
	};

	type Described = Pick<BackendView, 'id' | 'address' | 'availabilityZone' | 'machineClass' | 'services' | 'checksFencing'>;

	const put = (described: Described, origin: Origin): Entry => {
		const price = inForce === undefined ? 0 : findPrice(inForce, described.availabilityZone, described.machineClass);
		const known = entries.get(described.id);
		if (known?.view.address === described.address) {
			known.view = {...known.view, ...described, price};
			return known;
		}

		// The same id at a new address is a new process with an empty cache.
		forgetBackend(prefixes, described.id);
		const entry: Entry = {
			view: {
				...described, idHash: hashText(described.id), price, isLeaving: false, avoidUntil: 0, running: 0, sentSinceReport: 0, speed: unknownSpeed, pendingTokens: 0, urgent: 0, cacheTokens: 0, limit: mostRunning,
			},
			origin,
			leavesAt: undefined,
			leaving: makeLeavingController(),
			lastSentAt: [],
			concurrency: makeConcurrencyLimit(mostRunning),
		};
		entries.set(described.id, entry);
		return entry;
	};

	const remove = (id: string): void => {
		entries.delete(id);
		forgetBackend(prefixes, id);
	};

	const report = (): void => {
		const views = [...entries.values()].map(entry => entry.view);
		metrics.backends.set({state: 'live'}, views.filter(view => !view.isLeaving).length);
		metrics.backends.set({state: 'leaving'}, views.filter(view => view.isLeaving).length);
	};

	const rebuild = (): void => {
		const present = new Set<string>();
		for (const backend of inForce === undefined ? [] : listConfiguredBackends(inForce)) {
			const {id, address, availabilityZone, machineClass, serviceIds, checksFencing} = backend;
			present.add(id);
			put({
				id, address, availabilityZone, machineClass, services: serviceIds, checksFencing,
			}, 'configuration');
		}

		for (const instance of lastList?.instances ?? []) {
			if (instance.role !== 'backend') {
				continue;
			}

			const {id, address, availabilityZone, machineClass, services} = instance;
			const configured = present.has(id) ? entries.get(id) : undefined;
			present.add(id);
			const entry = configured ?? put({
				id, address, availabilityZone, machineClass, services, checksFencing: false,
			}, 'list');
			if (instance.state === 'leaving') {
				markLeaving(entry, instance.leavesAt);
			} else if (!noticed.has(id) && entry.view.isLeaving) {
				entry.view = {...entry.view, isLeaving: false};
				entry.leavesAt = undefined;
				entry.leaving = makeLeavingController();
			}
		}

		for (const [id, leavesAt] of noticed) {
			const entry = entries.get(id);
			if (entry !== undefined) {
				markLeaving(entry, leavesAt);
			}

			// A notice outlives a list that lags behind it, and no longer.
			if (leavesAt !== undefined && clock.now() > leavesAt + (leavingGraceMs * 10)) {
				noticed.delete(id);
			}
		}

		for (const id of entries.keys()) {
			if (!present.has(id)) {
				remove(id);
			}
		}

		report();
	};

	const change = (id: string, update: (view: BackendView) => BackendView): void => {
		const entry = entries.get(id);
		if (entry !== undefined) {
			entry.view = update(entry.view);
		}
	};

	return {
		takeConfiguration(next) {
			inForce = next;
			rebuild();
		},
		takeList(list) {
			lastList = list;
			rebuild();
		},
		noteLeaving(id, leavesAt) {
			noticed.set(id, leavesAt);
			rebuild();
		},
		takeReport(id, load) {
			const entry = entries.get(id);
			if (entry === undefined || (entry.view.report?.at ?? 0) > load.at) {
				return;
			}

			entry.lastSentAt = entry.lastSentAt.filter(sentAt => sentAt > load.at);
			entry.view = {
				...entry.view, report: load, sentSinceReport: entry.lastSentAt.length, cacheTokens: Math.max(entry.view.cacheTokens, load.cachedTokens ?? 0),
			};
		},
		takeCacheEvents(id, events) {
			if (!entries.has(id)) {
				return;
			}

			for (const {kind, blocks} of events) {
				(kind === 'stored' ? notePrefix : dropPrefix)(prefixes, id, blocks);
			}
		},
		forgetCache(id) {
			forgetBackend(prefixes, id);
		},
		choose(call) {
			return policy({
				call,
				backends: [...entries.values()].map(entry => entry.view),
				findBackend: id => entries.get(id)?.view,
				countCachedBlocks: (id, chain) => countCachedBlocks(prefixes, id, chain),
				listHolders: hash => listHolders(prefixes, hash),
				random,
			});
		},
		begin(id, start) {
			const {promptTokens, isUrgent} = start ?? plainStart;
			const entry = entries.get(id);
			if (entry === undefined) {
				return;
			}

			entry.lastSentAt = [...entry.lastSentAt.slice(-mostRememberedSends), clock.now()];
			const {view} = entry;
			entry.view = {
				...view, running: view.running + 1, pendingTokens: view.pendingTokens + promptTokens, urgent: view.urgent + (isUrgent ? 1 : 0), sentSinceReport: view.report === undefined ? 0 : view.sentSinceReport + 1,
			};
			metrics.running.inc();
		},
		noteRead(id, promptTokens) {
			change(id, view => ({...view, pendingTokens: Math.max(0, view.pendingTokens - promptTokens)}));
		},
		end(id, isUrgent = false) {
			change(id, view => ({...view, running: Math.max(0, view.running - 1), urgent: Math.max(0, view.urgent - (isUrgent ? 1 : 0))}));
			metrics.running.dec();
		},
		learn(id, sample, chain) {
			const entry = entries.get(id);
			if (entry === undefined) {
				return;
			}

			entry.concurrency = adaptConcurrency(entry.concurrency, {
				now: clock.now(), running: entry.view.running, isOverloaded: isSlowedByLoad(entry.view.speed, sample) || (entry.view.report?.queued ?? 0) > 0, mostRunning,
			});
			entry.view = {...entry.view, speed: learnSpeed(entry.view.speed, sample), limit: entry.concurrency.limit};
			notePrefix(prefixes, id, chain);
		},
		avoid(id) {
			change(id, view => ({...view, avoidUntil: clock.now() + avoidForMs}));
		},
		list: () => [...entries.values()].map(entry => entry.view),
		getView: id => entries.get(id)?.view,
		countCached: (id, chain) => countCachedBlocks(prefixes, id, chain),
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
		countPlaces(serviceId) {
			let places = 0;
			for (const {view} of entries.values()) {
				places += !view.isLeaving && view.services.includes(serviceId) ? view.limit : 0;
			}

			return Math.floor(places);
		},
	};
};
