/** Replays the configuration stream of the log and keeps the active configurations of all teams. */
import {configurationStream, restatementAgeMs} from '@shallotpass/common/constants.js';
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {startTask, type FoldResult} from '@shallotpass/common/task.js';
import {addMilliseconds, type LogOffset} from '@shallotpass/common/types.js';
import {
	emptyConfigurationState, applyConfigurationRecord, applyTrim, closeGap,
} from '@shallotpass/core/configuration/configuration-state.js';
import {planRestatements} from '@shallotpass/core/configuration/plan-restatement.js';
import {
	isBehindDigest,
	makeOffer,
	makeVersionDigest,
	initializeFromOffer,
	applyOffer,
} from '@shallotpass/core/configuration/exchange-offers.js';
import {type AcceptedConfiguration, type ConfigurationOffer, type ConfigurationState} from '@shallotpass/core/configuration/types.js';
import {followLog, maxRecordsPerRead, type LogFollowEvent} from '@shallotpass/provider/follow-log.js';
import {type Environment} from './environment.js';
import {noActiveConfigurations, activateConfiguration, type ActiveConfigurations} from './active-configurations.js';

type Message =
	| {readonly kind: 'log'; readonly event: LogFollowEvent}
	| {readonly kind: 'offer'; readonly offer: ConfigurationOffer}
	| {readonly kind: 'versions'; readonly address: string; readonly versions: Readonly<Record<string, number>>}
	| {readonly kind: 'start'; readonly offer: ConfigurationOffer}
	| {readonly kind: 'settle'}
	| {readonly kind: 'restate'; readonly memberIndex: number};

type Effect =
	| {readonly kind: 'accepted'; readonly accepted: AcceptedConfiguration}
	| {readonly kind: 'fetch'; readonly address: string}
	| {readonly kind: 'ask_members'}
	| {readonly kind: 'append'; readonly record: unknown}
	| {readonly kind: 'outage'; readonly error: unknown};

type TaskState = {
	readonly configuration: ConfigurationState;
	/** Whether the task has read to the end of the log at least once. */
	readonly hasReadLog: boolean;
};

export type ConfigurationTask = {
	readonly getActiveConfigurations: () => ActiveConfigurations;
	readonly getState: () => ConfigurationState;
	readonly hasReadLog: () => boolean;
	readonly isLogReachable: () => boolean;
	/** Compares the versions of a peer with this daemon's and fetches newer ones from it. */
	readonly receiveVersions: (address: string, versions: Readonly<Record<string, number>>) => void;
	/** Applies the configurations that a peer has accepted. */
	readonly receiveOffer: (offer: ConfigurationOffer) => void;
	/** Returns the configurations that this daemon has accepted, for a peer. */
	readonly makeOffer: () => ConfigurationOffer;
	/** Returns the accepted version of each team. */
	readonly makeVersionDigest: () => Record<string, number>;
	/** Reads new log records at once, independently of the poll, which can hang on an unresponsive connection. */
	readonly catchUp: () => Promise<void>;
	/** Registers a listener that is called whenever a new version becomes active. */
	readonly onActivated: (listener: (activeConfigurations: ActiveConfigurations) => void) => void;
};

type ConfigurationTaskOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	/** Requests the configurations that the peer at the address has accepted. */
	readonly fetchOffer: (address: string) => Promise<ConfigurationOffer>;
	/** Lists the addresses of a few peers to ask for their accepted configurations. */
	readonly listPeerAddresses: () => readonly string[];
	/** Returns the zero-based position of this daemon in the list of members. */
	readonly getMemberIndex: () => number;
	/** Whether this daemon follows the log on behalf of its availability zone. The zone's other daemons receive changes from it. */
	readonly isZoneReader: () => boolean;
	/** Announces a newly accepted version to some peers immediately. */
	readonly announceVersions: () => void;
};

/** How often daemons that are not zone readers poll the log, in case every zone reader fails or has outdated state. */
const backupPollIntervalMs = 5000;

/** How often the task checks for accepted configurations that must be appended again before the log trims them. */
const restateIntervalMs = 10_000;

/** How long a reader that missed trimmed records waits for peers before it resolves the gap on its own. */
const gapTimeoutMs = 2000;

const listNewlyAccepted = (before: ConfigurationState, after: ConfigurationState): Effect[] =>
	[...after.accepted.values()]
		.filter(accepted => before.accepted.get(accepted.team)?.version !== accepted.version)
		.map(accepted => ({kind: 'accepted', accepted}));

const makeStep = (state: TaskState, configuration: ConfigurationState): FoldResult<TaskState, Effect> => ({
	state: {...state, configuration},
	effects: listNewlyAccepted(state.configuration, configuration),
});

const applyLogEvent = (state: TaskState, event: LogFollowEvent): FoldResult<TaskState, Effect> => {
	switch (event.kind) {
		case 'record': {
			return makeStep(state, applyConfigurationRecord(state.configuration, event.record));
		}

		case 'trimmed': {
			return {state: {...state, configuration: applyTrim(state.configuration, event.earliest)}, effects: [{kind: 'ask_members'}]};
		}

		case 'caught_up': {
			return {state: {...state, hasReadLog: true}, effects: []};
		}

		case 'outage': {
			return {state, effects: [{kind: 'outage', error: event.error}]};
		}
	}
};

const applyMessage = (now: () => number) => (state: TaskState, message: Message): FoldResult<TaskState, Effect> => {
	switch (message.kind) {
		case 'log': {
			return applyLogEvent(state, message.event);
		}

		case 'offer': {
			return makeStep(state, applyOffer(state.configuration, message.offer, now()));
		}

		case 'start': {
			return makeStep(state, initializeFromOffer(state.configuration, message.offer, now()));
		}

		case 'versions': {
			return {state, effects: isBehindDigest(state.configuration, message.versions) ? [{kind: 'fetch', address: message.address}] : []};
		}

		case 'settle': {
			return makeStep(state, closeGap(state.configuration));
		}

		case 'restate': {
			const records = planRestatements({
				state: state.configuration, now: now(), ageMs: restatementAgeMs, memberIndex: message.memberIndex,
			});
			return {state, effects: records.map(record => ({kind: 'append', record}))};
		}
	}
};

export const startConfigurationTask = (options: ConfigurationTaskOptions): ConfigurationTask => {
	const {environment, log} = options;
	const {clock, signal, metrics} = environment;
	const logger = environment.makeLogger('configuration');
	const listeners: Array<(activeConfigurations: ActiveConfigurations) => void> = [];
	let activeConfigurations = noActiveConfigurations;
	let isLogReachable = true;
	const pendingFetches = new Set<string>();

	const activateAccepted = (accepted: AcceptedConfiguration): void => {
		const result = activateConfiguration(activeConfigurations, accepted, clock.now());
		if (result.kind === 'unreadable') {
			metrics.configurationFailures.inc();
			logger.error('configuration_unreadable', {team: accepted.team, version: accepted.version, mistakes: result.mistakes});
			return;
		}

		activeConfigurations = result.inForce;
		metrics.configurationVersion.set({team: accepted.team}, accepted.version);
		logger.info('configuration_in_force', {
			team: accepted.team, version: accepted.version, id: accepted.id, by: accepted.by,
		});
		for (const listener of listeners) {
			listener(activeConfigurations);
		}

		options.announceVersions();
	};

	const fetchOfferFrom = async (address: string): Promise<void> => {
		if (pendingFetches.has(address)) {
			return;
		}

		pendingFetches.add(address);
		try {
			const offer = await options.fetchOffer(address);
			task.send({kind: 'offer', offer});
		} catch (error) {
			logger.debug('offer_not_fetched', {address, error});
		} finally {
			pendingFetches.delete(address);
		}
	};

	const askMembers = async (): Promise<void> => {
		logger.warn('log_trimmed_before_reading');
		await Promise.all(options.listPeerAddresses().map(async address => fetchOfferFrom(address)));
		await waitUntilOrAborted(clock, addMilliseconds(clock.now(), gapTimeoutMs), signal);
		task.send({kind: 'settle'});
	};

	const append = async (record: unknown): Promise<void> => {
		try {
			await log.append({stream: configurationStream, record, signal});
			metrics.logAppends.inc({stream: configurationStream, result: 'done'});
		} catch (error) {
			metrics.logAppends.inc({stream: configurationStream, result: 'failed'});
			logger.warn('restatement_not_appended', {error});
		}
	};

	const perform = (effect: Effect): void => {
		switch (effect.kind) {
			case 'accepted': {
				activateAccepted(effect.accepted);
				break;
			}

			case 'fetch': {
				void fetchOfferFrom(effect.address);
				break;
			}

			case 'ask_members': {
				void askMembers();
				break;
			}

			case 'append': {
				void append(effect.record);
				break;
			}

			case 'outage': {
				metrics.logOutages.inc({stream: configurationStream});
				logger.warn('log_unreachable', {stream: configurationStream, error: effect.error});
			}
		}
	};

	const task = startTask<TaskState, Message, Effect>({
		initial: {configuration: emptyConfigurationState, hasReadLog: false},
		fold: applyMessage(clock.now),
		perform,
		onError(error) {
			logger.error('task_failed', {error});
		},
		signal,
	});

	const runRestatements = async (): Promise<void> => {
		while (!signal.aborted) {
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), restateIntervalMs), signal); // eslint-disable-line no-await-in-loop
			task.send({kind: 'restate', memberIndex: options.getMemberIndex()});
		}
	};

	void runRestatements();
	/**
	 * Asks peers for a starting point in the log. Hundreds of daemons are replaced each day,
	 * and without it each of them would read the whole stream.
	 */
	const fetchFirstOffer = async (): Promise<ConfigurationOffer | undefined> => {
		const offers = options.listPeerAddresses().map(async address => {
			const offer = await options.fetchOffer(address);
			if (!offer.isComplete || offer.accepted.length === 0) {
				throw new Error('the peer has no complete configuration yet');
			}

			return offer;
		});
		try {
			return await Promise.any(offers);
		} catch {
			return undefined;
		}
	};

	const followFrom = async (from: LogOffset): Promise<void> => followLog({
		log,
		stream: configurationStream,
		from,
		clock,
		random: environment.random,
		signal,
		getNextReadTime: () => addMilliseconds(clock.now(), options.isZoneReader() ? 0 : backupPollIntervalMs * (0.5 + environment.random())),
		send(event) {
			isLogReachable = event.kind !== 'outage';
			task.send({kind: 'log', event});
		},
	});

	const follow = async (): Promise<void> => {
		const offer = await fetchFirstOffer();
		if (offer !== undefined) {
			task.send({kind: 'start', offer});
		}

		await followFrom(offer?.foldedTo ?? 0 as LogOffset);
	};

	void follow();

	return {
		getActiveConfigurations: () => activeConfigurations,
		getState: () => task.getState().configuration,
		hasReadLog: () => task.getState().hasReadLog,
		isLogReachable: () => isLogReachable,
		receiveVersions(address, versions) {
			task.send({kind: 'versions', address, versions});
		},
		receiveOffer(offer) {
			task.send({kind: 'offer', offer});
		},
		makeOffer: () => makeOffer(task.getState().configuration),
		makeVersionDigest: () => makeVersionDigest(task.getState().configuration),
		async catchUp() {
			try {
				const {foldedTo} = task.getState().configuration;
				const result = await log.read({
					stream: configurationStream, from: foldedTo, limit: maxRecordsPerRead, signal,
				});
				for (const record of result.kind === 'records' ? result.records : []) {
					task.send({kind: 'log', event: {kind: 'record', record}});
				}
			} catch (error) {
				logger.debug('log_unreachable', {error});
			}
		},
		onActivated(listener) {
			listeners.push(listener);
		},
	};
};
