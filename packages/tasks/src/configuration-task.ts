/** Owns the fold of the configuration stream and what is in force. */
import {configurationStream, restatementAgeMs} from '@shallotpass/common/constants.js';
import {waitQuietly} from '@shallotpass/common/clock.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {startTask, type Step} from '@shallotpass/common/task.js';
import {addMilliseconds, type LogOffset} from '@shallotpass/common/types.js';
import {
	emptyConfigurationState, foldConfigurationRecord, noteTrim, settleGap,
} from '@shallotpass/core/configuration/fold-configuration.js';
import {planRestatements} from '@shallotpass/core/configuration/plan-restatement.js';
import {
	hasNewerVersion,
	makeOffer,
	makeVersionDigest,
	startFromOffer,
	takeOffer,
} from '@shallotpass/core/configuration/take-offer.js';
import {type AcceptedConfiguration, type ConfigurationOffer, type ConfigurationState} from '@shallotpass/core/configuration/types.js';
import {followLog, readLimit, type LogEvent} from '@shallotpass/provider/follow-log.js';
import {type Environment} from './environment.js';
import {nothingInForce, putInForce, type InForce} from './in-force.js';

type Message =
	| {readonly kind: 'log'; readonly event: LogEvent}
	| {readonly kind: 'offer'; readonly offer: ConfigurationOffer}
	| {readonly kind: 'versions'; readonly address: string; readonly versions: Readonly<Record<string, number>>}
	| {readonly kind: 'start'; readonly offer: ConfigurationOffer}
	| {readonly kind: 'settle'}
	| {readonly kind: 'restate'; readonly place: number};

type Effect =
	| {readonly kind: 'accepted'; readonly accepted: AcceptedConfiguration}
	| {readonly kind: 'fetch'; readonly address: string}
	| {readonly kind: 'ask_members'}
	| {readonly kind: 'append'; readonly record: unknown}
	| {readonly kind: 'outage'; readonly error: unknown};

type TaskState = {
	readonly fold: ConfigurationState;
	/** Whether the end of the log was reached once. */
	readonly hasReadLog: boolean;
};

export type ConfigurationTask = {
	readonly getInForce: () => InForce;
	readonly getState: () => ConfigurationState;
	readonly hasReadLog: () => boolean;
	readonly isLogReachable: () => boolean;
	readonly takeVersions: (address: string, versions: Readonly<Record<string, number>>) => void;
	readonly takeOffer: (offer: ConfigurationOffer) => void;
	readonly makeOffer: () => ConfigurationOffer;
	readonly makeVersionDigest: () => Record<string, number>;
	/** Reads what the log has beyond the fold, beside the poll that may hang on a silent connection. */
	readonly catchUp: () => Promise<void>;
	/** Runs the function each time that something else comes into force. */
	readonly onInForce: (listener: (inForce: InForce) => void) => void;
};

type ConfigurationTaskOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	/** Asks the peer at the address for what it has accepted. */
	readonly fetchOffer: (address: string) => Promise<ConfigurationOffer>;
	/** Addresses of some peers, for a reader that cannot judge alone. */
	readonly listPeerAddresses: () => readonly string[];
	/** Place of this daemon among the members, from 0. */
	readonly getPlace: () => number;
	/** Whether this daemon follows the log for its availability zone; the others hear of changes from it. */
	readonly isZoneReader: () => boolean;
	/** Tells some peers at once that a newer version is accepted. */
	readonly spread: () => void;
};

/** Daemons that do not follow the log look at it this often all the same, in case all who do are wrong. */
const otherReadersMs = 5000;

const restateEveryMs = 10_000;

/** How long a reader with a gap waits for a peer before it settles alone. */
const settleAfterMs = 2000;

const listAccepted = (before: ConfigurationState, after: ConfigurationState): Effect[] =>
	[...after.accepted.values()]
		.filter(accepted => before.accepted.get(accepted.team)?.version !== accepted.version)
		.map(accepted => ({kind: 'accepted', accepted}));

const withFold = (state: TaskState, fold: ConfigurationState): Step<TaskState, Effect> => ({
	state: {...state, fold},
	effects: listAccepted(state.fold, fold),
});

const foldLogEvent = (state: TaskState, event: LogEvent): Step<TaskState, Effect> => {
	switch (event.kind) {
		case 'record': {
			return withFold(state, foldConfigurationRecord(state.fold, event.record));
		}

		case 'trimmed': {
			return {state: {...state, fold: noteTrim(state.fold, event.earliest)}, effects: [{kind: 'ask_members'}]};
		}

		case 'caught_up': {
			return {state: {...state, hasReadLog: true}, effects: []};
		}

		case 'outage': {
			return {state, effects: [{kind: 'outage', error: event.error}]};
		}
	}
};

const foldMessage = (now: () => number) => (state: TaskState, message: Message): Step<TaskState, Effect> => {
	switch (message.kind) {
		case 'log': {
			return foldLogEvent(state, message.event);
		}

		case 'offer': {
			return withFold(state, takeOffer(state.fold, message.offer, now()));
		}

		case 'start': {
			return withFold(state, startFromOffer(state.fold, message.offer, now()));
		}

		case 'versions': {
			return {state, effects: hasNewerVersion(state.fold, message.versions) ? [{kind: 'fetch', address: message.address}] : []};
		}

		case 'settle': {
			return withFold(state, settleGap(state.fold));
		}

		case 'restate': {
			const records = planRestatements({
				state: state.fold, now: now(), ageMs: restatementAgeMs, place: message.place,
			});
			return {state, effects: records.map(record => ({kind: 'append', record}))};
		}
	}
};

export const startConfigurationTask = (options: ConfigurationTaskOptions): ConfigurationTask => {
	const {environment, log} = options;
	const {clock, signal, metrics} = environment;
	const logger = environment.makeLogger('configuration');
	const listeners: Array<(inForce: InForce) => void> = [];
	let inForce = nothingInForce;
	let isReachable = true;
	const fetching = new Set<string>();

	const putAccepted = (accepted: AcceptedConfiguration): void => {
		const result = putInForce(inForce, accepted, clock.now());
		if (result.kind === 'unreadable') {
			metrics.configurationFailures.inc();
			logger.error('configuration_unreadable', {team: accepted.team, version: accepted.version, mistakes: result.mistakes});
			return;
		}

		inForce = result.inForce;
		metrics.configurationVersion.set({team: accepted.team}, accepted.version);
		logger.info('configuration_in_force', {
			team: accepted.team, version: accepted.version, id: accepted.id, by: accepted.by,
		});
		for (const listener of listeners) {
			listener(inForce);
		}

		options.spread();
	};

	const fetchFrom = async (address: string): Promise<void> => {
		if (fetching.has(address)) {
			return;
		}

		fetching.add(address);
		try {
			const offer = await options.fetchOffer(address);
			task.send({kind: 'offer', offer});
		} catch (error) {
			logger.debug('offer_not_fetched', {address, error});
		} finally {
			fetching.delete(address);
		}
	};

	const askMembers = async (): Promise<void> => {
		logger.warn('log_trimmed_before_reading');
		await Promise.all(options.listPeerAddresses().map(async address => fetchFrom(address)));
		await waitQuietly(clock, addMilliseconds(clock.now(), settleAfterMs), signal);
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
				putAccepted(effect.accepted);
				break;
			}

			case 'fetch': {
				void fetchFrom(effect.address);
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
		initial: {fold: emptyConfigurationState, hasReadLog: false},
		fold: foldMessage(clock.now),
		perform,
		onError(error) {
			logger.error('task_failed', {error});
		},
		signal,
	});

	const restateRegularly = async (): Promise<void> => {
		while (!signal.aborted) {
			await waitQuietly(clock, addMilliseconds(clock.now(), restateEveryMs), signal); // eslint-disable-line no-await-in-loop
			task.send({kind: 'restate', place: options.getPlace()});
		}
	};

	void restateRegularly();
	/** Hundreds of daemons are replaced each day; each would read the whole stream if no peer told it where to start. */
	const askFirstOffer = async (): Promise<ConfigurationOffer | undefined> => {
		const offers = options.listPeerAddresses().map(async address => {
			const offer = await options.fetchOffer(address);
			if (!offer.isComplete || offer.accepted.length === 0) {
				throw new Error('the peer knows nothing yet');
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
		getNextReading: () => addMilliseconds(clock.now(), options.isZoneReader() ? 0 : otherReadersMs * (0.5 + environment.random())),
		send(event) {
			isReachable = event.kind !== 'outage';
			task.send({kind: 'log', event});
		},
	});

	const follow = async (): Promise<void> => {
		const offer = await askFirstOffer();
		if (offer !== undefined) {
			task.send({kind: 'start', offer});
		}

		await followFrom(offer?.foldedTo ?? 0 as LogOffset);
	};

	void follow();

	return {
		getInForce: () => inForce,
		getState: () => task.getState().fold,
		hasReadLog: () => task.getState().hasReadLog,
		isLogReachable: () => isReachable,
		takeVersions(address, versions) {
			task.send({kind: 'versions', address, versions});
		},
		takeOffer(offer) {
			task.send({kind: 'offer', offer});
		},
		makeOffer: () => makeOffer(task.getState().fold),
		makeVersionDigest: () => makeVersionDigest(task.getState().fold),
		async catchUp() {
			try {
				const {foldedTo} = task.getState().fold;
				const reading = await log.read({
					stream: configurationStream, from: foldedTo, limit: readLimit, signal,
				});
				for (const record of reading.kind === 'records' ? reading.records : []) {
					task.send({kind: 'log', event: {kind: 'record', record}});
				}
			} catch (error) {
				logger.debug('log_unreachable', {error});
			}
		},
		onInForce(listener) {
			listeners.push(listener);
		},
	};
};
