/**
 * Confirms that the process at a backend server's address is the incarnation of its entry. It may have started again under its id,
 * at another software version, a heartbeat before its entry tells.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {type StartReply} from '../ports.js';
import {getConnectionNumber} from './backend-agent.js';
import {type BackendState} from './backend-registry.js';
import {recordConnectFailure} from './connect-failures.js';

/** Timeout of the question. Backend servers answer it beside their calls, within some milliseconds unless they are very busy. */
const askTimeoutMs = 600;

/** Time for which a backend server gets no calls that has started again: by then its entry tells of it, also after an outage of the store. */
const entryLagMs = 2500;

/** `other`: another incarnation answers. `unreachable`: no connection was opened. `unknown`: nobody answers. */
export type IncarnationFinding = 'confirmed' | 'other' | 'unreachable' | 'unknown';

/** Questions under way, by backend server. */
const pendingQuestions = new WeakMap<BackendState, Promise<IncarnationFinding>>();

/** Whether the connection may lead to another incarnation than the directory tells. */
const mayBeOther = ({agent}: BackendState, connection: number | undefined): boolean => !agent.isConfirmed(connection);

/** Answer to a question, and what it proves. */
export type StartAnswer = {
	readonly reply: StartReply;
	/** Number of the connection on which it came, and of the one that had been established last when the question was written. */
	readonly connection: number | undefined;
	readonly lastConnection: number;
};

/** Asks the process behind the address when it started, on a pooled connection unless it gets its own. */
export const askWhenStarted = async (gateway: GatewayState, {agent, entry: {address}}: BackendState, {hasOwnConnection = false} = {}): Promise<StartAnswer> => {
	let lastConnection = 0;
	let connection: number | undefined;
	const reply = await gateway.engines.readStart({address, agent}, {
		timeoutMs: askTimeoutMs, signal: gateway.stopSignal, hasOwnConnection,
		onSend(socket) {
			lastConnection = agent.lastConnection;
			connection = getConnectionNumber(socket);
		},
	});
	return {reply, connection, lastConnection};
};

/** Processes that have told their start, which is that of the entry. They tell it whenever they are asked. */
const tellingProcesses = new WeakSet<BackendState>();

/** Whether the process of the entry is known to tell its start. */
export const hasToldStart = (state: BackendState): boolean => tellingProcesses.has(state);

/** Records that the process answers that the entry tells of. */
export const recordSameProcess = (state: BackendState, lastConnection: number): void => {
	tellingProcesses.add(state);
	state.agent.confirmUpTo(lastConnection);
};

/** Records that another process answers than the entry tells of. */
export const recordOtherProcess = (gateway: GatewayState, state: BackendState, startedAt: number, {connection, lastConnection}: Omit<StartAnswer, 'reply'>): void => {
	const {agent, entry: {id, address}} = state;
	agent.recordLaterProcess(startedAt, connection ?? Infinity, lastConnection);
	state.suspendedUntil = gateway.clocks.steady() + entryLagMs;
	gateway.log.write('state', 'backend_unreachable', {
		backend: id, address, reason: 'other_incarnation', failures: 0, pauseMs: entryLagMs,
	});
};

const askForStart = async (gateway: GatewayState, state: BackendState): Promise<IncarnationFinding> => {
	const {agent, entry} = state;
	if (entry.startedAt === undefined) {
		// No answer could tell whether it is the process that wrote the entry.
		return 'unknown';
	}

	const startedAt = gateway.clocks.steady();
	const {reply, ...place} = await askWhenStarted(gateway, state);
	switch (reply.kind) {
		case 'failed': {
			if (reply.isSent) {
				return 'unknown';
			}

			recordConnectFailure(gateway, state, {reason: reply.reason, startedAt});
			return 'unreachable';
		}

		case 'untold': {
			// Only its entry says who it is.
			agent.confirmUpTo(place.lastConnection);
			return 'confirmed';
		}

		case 'started': {
			if (reply.startedAt === entry.startedAt) {
				recordSameProcess(state, place.lastConnection);
				return 'confirmed';
			}

			recordOtherProcess(gateway, state, reply.startedAt, place);
			return 'other';
		}
	}
};

/** Asks the process behind the address, or waits for the answer to a question that is under way. */
const askOnce = async (gateway: GatewayState, state: BackendState): Promise<IncarnationFinding> => {
	const pending = pendingQuestions.get(state);
	if (pending !== undefined) {
		return pending;
	}

	const finding = askForStart(gateway, state);
	pendingQuestions.set(state, finding);
	const found = await finding;
	pendingQuestions.delete(state);
	return found;
};

/** Finds out whether the process at the other end of the established connection is the incarnation of the state. */
export const confirmConnection = async (gateway: GatewayState, state: BackendState, connection: number | undefined): Promise<IncarnationFinding> => {
	// A question that is under way may have been sent before the connection was established. The next one was not.
	const wasAsked = pendingQuestions.has(state);
	if (!mayBeOther(state, connection)) {
		return 'confirmed';
	}

	const finding = await askOnce(gateway, state);
	if (finding !== 'confirmed' || !mayBeOther(state, connection)) {
		return finding;
	}

	return wasAsked ? confirmConnection(gateway, state, connection) : 'unknown';
};

/** Finds out whether the next call gets a connection to the incarnation of the state. The connection on which that was asked is idle then. */
export const confirmIncarnation = async (gateway: GatewayState, state: BackendState): Promise<IncarnationFinding> =>
	mayBeOther(state, state.agent.findNextConnection()) ? askOnce(gateway, state) : 'confirmed';

/**
 * Time that a stream waits for the confirmation before it is sent, and before its answer is forwarded, in steps: a busy process is late with the timer and with
 * reading the answer, and one late timer would end the wait before anything was read. A new stream goes on without the confirmation.
 */
const confirmationStepMs = 20;
const confirmationSteps = 5;

const waitShortly = async (finding: Promise<IncarnationFinding>): Promise<IncarnationFinding> => {
	let found: IncarnationFinding | undefined;
	for (let step = 0; step < confirmationSteps && found === undefined; step++) {
		found = await Promise.race([finding, sleep(confirmationStepMs, undefined)]); // eslint-disable-line no-await-in-loop -- one step after the other
	}

	return found ?? 'unknown';
};

/** Confirms the incarnation before a stream is sent. One that has begun waits for the answer, a new one only shortly. */
export const confirmBeforeSend = async (gateway: GatewayState, state: BackendState, isContinued: boolean): Promise<IncarnationFinding> => {
	const finding = confirmIncarnation(gateway, state);
	return isContinued ? finding : waitShortly(finding);
};

const entryPollMs = 50;

/** Further questions for a version that a caller who comes back needs. A very busy backend server misses the first one. */
const laterQuestions = 3;

/** Asks again as long as nobody answers. */
const waitForFinding = async (gateway: GatewayState, state: BackendState, connection: number | undefined, first: Promise<IncarnationFinding>): Promise<IncarnationFinding> => {
	let finding = await first;
	for (let question = 0; finding === 'unknown' && question < laterQuestions && !gateway.stopSignal.aborted; question++) {
		finding = await confirmConnection(gateway, state, connection); // eslint-disable-line no-await-in-loop -- one question after the other
	}

	return finding;
};

/** Finds the version of the process to which the connection leads, if it started after that of the state, once the directory tells of it. */
const findLaterVersion = async (gateway: GatewayState, state: BackendState, connection: number | undefined): Promise<string | undefined> => {
	const {agent, entry: {id, address}} = state;
	if (agent.findLaterProcess(connection) === undefined) {
		await askOnce(gateway, state);
	}

	const startedAt = agent.findLaterProcess(connection);
	if (startedAt === undefined) {
		return undefined;
	}

	const until = gateway.clocks.steady() + entryLagMs;
	while (gateway.clocks.steady() < until && !gateway.stopSignal.aborted) {
		const entry = gateway.registry.byId.get(id)?.entry;
		if (entry?.startedAt === startedAt && entry.address === address) {
			return entry.softwareVersion;
		}

		await pauseFor(entryPollMs, gateway.stopSignal); // eslint-disable-line no-await-in-loop -- a poll
	}

	return undefined;
};

/** What is known of the version that answers when the answer begins. */
export type AnsweringVersion = {
	/** Undefined if it is not known yet. */
	readonly softwareVersion: string | undefined;
	/** Resolves with the version if it becomes known while the answer is under way. */
	readonly later: Promise<string | undefined> | undefined;
};

/** Determines which version answers on the connection, once the head of an answer has arrived. */
export const determineAnsweringVersion = async (gateway: GatewayState, state: BackendState, connection: number | undefined): Promise<AnsweringVersion> => {
	if (!mayBeOther(state, connection)) {
		return {softwareVersion: state.entry.softwareVersion, later: undefined};
	}

	const confirmation = confirmConnection(gateway, state, connection);
	const toVersion = (finding: IncarnationFinding): string | undefined => finding === 'confirmed' ? state.entry.softwareVersion : undefined;
	const softwareVersion = toVersion(await waitShortly(confirmation));
	const findLater = async (): Promise<string | undefined> => toVersion(await waitForFinding(gateway, state, connection, confirmation)) ?? findLaterVersion(gateway, state, connection);
	return {softwareVersion, later: softwareVersion === undefined ? findLater() : undefined};
};
