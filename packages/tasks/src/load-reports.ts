/** Reads load reports and cache events of the model engines that this daemon is a reporter of. */
import {waitQuietly} from '@shallotpass/common/clock.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {readCacheEvents} from '@shallotpass/backends/engine-events.js';
import {readLoad} from '@shallotpass/backends/engine-load.js';
import {rankByRendezvous} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type Dispatcher} from 'undici';
import {type BackendRegistry} from './backend-registry.js';
import {type Environment} from './environment.js';

type LoadReportOptions = {
	readonly environment: Environment;
	readonly registry: BackendRegistry;
	readonly dispatcher: Dispatcher;
	/** Whether the backend server runs a model service. */
	readonly isEngine: (serviceIds: readonly string[]) => boolean;
	/** Members of this availability zone, this one included. */
	readonly listZoneMembers: () => readonly string[];
};

const readEveryMs = 1000;

/** Above so many engines each is read half as often, or the reports alone fill the daemon's budget of control. */
const fewEngines = 8;

/** Up to so many engines a daemon reads them all; above, it reads those it is one of the reporters of. */
const mostReadByAll = 16;

/** Reporters of one engine, so that one that dies leaves no gap. */
const reportersPerEngine = 2;

export const runLoadReports = async (options: LoadReportOptions): Promise<void> => {
	const {environment, registry, dispatcher} = options;
	const {clock, signal, settings} = environment;

	const listEngines = () => registry.list().filter(view => options.isEngine(view.services));

	/** Cache events tell of every prompt: beyond a few engines they would be more than all other control. */
	const readsAll = (): boolean => listEngines().length <= mostReadByAll;

	const listOwn = (): string[] => {
		const engines = listEngines();
		if (readsAll()) {
			return engines.map(view => view.id);
		}

		const members = options.listZoneMembers();
		return engines
			.filter(view => view.availabilityZone === settings.instance.availabilityZone)
			.filter(view => rankByRendezvous(view.id, members).slice(0, reportersPerEngine).includes(settings.instance.id))
			.map(view => view.id);
	};

	const readOne = async (id: string): Promise<void> => {
		const view = registry.getView(id);
		if (view === undefined) {
			return;
		}

		try {
			registry.takeReport(id, await readLoad(view.address, dispatcher, signal));
		} catch {
			// An engine without a report is judged by this daemon's own calls.
		}
	};

	/** Where to go on reading the cache events of the engine at each address. */
	const nextEvents = new Map<string, number>();

	const readEvents = async (id: string): Promise<void> => {
		const view = registry.getView(id);
		if (view === undefined) {
			return;
		}

		const from = nextEvents.get(view.address) ?? 0;
		try {
			const {events, next} = await readCacheEvents(view.address, from, dispatcher, signal);
			nextEvents.set(view.address, next);
			// An engine that counts from the start again has restarted, with nothing cached.
			if (next < from) {
				registry.forgetCache(id);
				nextEvents.delete(view.address);
			}

			registry.takeCacheEvents(id, events);
		} catch {
			// Without events, an engine's cache is judged by this daemon's own calls.
		}
	};

	const forgetGone = (): void => {
		const addresses = new Set(listEngines().map(view => view.address));
		for (const address of nextEvents.keys()) {
			if (!addresses.has(address)) {
				nextEvents.delete(address);
			}
		}
	};

	while (!signal.aborted) {
		forgetGone();
		const own = listOwn();
		const pauseMs = own.length > fewEngines ? readEveryMs * 2 : readEveryMs;
		await Promise.all(own.map(async id => readOne(id))); // eslint-disable-line no-await-in-loop
		await Promise.all(readsAll() ? own.map(async id => readEvents(id)) : []); // eslint-disable-line no-await-in-loop
		await waitQuietly(clock, addMilliseconds(clock.now(), pauseMs), signal); // eslint-disable-line no-await-in-loop
	}
};
