/**
 * Confirms that the process at a backend server's address is the incarnation of its entry. It may have started again under its id,
 * at another software version, a heartbeat before its entry tells.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type GatewayState} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';

/** Timeout of the question. Backend servers answer it beside their calls, within some milliseconds unless they are very busy. */
const askTimeoutMs = 600;

/** Time for which a backend server gets no calls that has started again: by then its entry tells of it, also after an outage of the store. */
const entryLagMs = 2500;

/** `other`: another incarnation answers. `unknown`: nobody does. */
export type IncarnationFinding = 'confirmed' | 'other' | 'unknown';

/** Questions under way, by backend server. */
const pendingQuestions = new WeakMap<BackendState, {readonly contactPeriod: number; readonly finding: Promise<IncarnationFinding>}>();

/** Whether calls may reach another incarnation than the directory tells. */
const mayBeOther = ({agent, entry, confirmedPeriod}: BackendState): boolean => {
	// Without an open connection the process may have ended since.
	const isConfirmed = agent.establishedConnections > 0 && agent.contactPeriod === confirmedPeriod;
	return !isConfirmed && entry.startedAt !== undefined;
};

const askForStart = async (gateway: GatewayState, state: BackendState): Promise<IncarnationFinding> => {
	const {agent, entry} = state;
	const reply = await gateway.engines.readStart({address: entry.address, agent}, {timeoutMs: askTimeoutMs, signal: gateway.stopSignal});
	switch (reply.kind) {
		case 'failed': {
			return 'unknown';
		}

		case 'untold': {
			// Only its entry says who it is.
			state.confirmedPeriod = agent.contactPeriod;
			return 'confirmed';
		}

		case 'started': {
			if (reply.startedAt === entry.startedAt) {
				state.confirmedPeriod = agent.contactPeriod;
				return 'confirmed';
			}

			state.suspendedUntil = gateway.clocks.steady() + entryLagMs;
			gateway.log.write('state', 'backend_unreachable', {
				backend: entry.id, address: entry.address, reason: 'other_incarnation', failures: 0, pauseMs: entryLagMs,
			});
			return 'other';
		}
	}
};

/** Finds out whether the process that the pooled connections reach is the incarnation of the state. Asks at most once while a connection stays open. */
export const confirmIncarnation = async (gateway: GatewayState, state: BackendState): Promise<IncarnationFinding> => {
	if (!mayBeOther(state)) {
		return 'confirmed';
	}

	const {contactPeriod} = state.agent;
	const pending = pendingQuestions.get(state);
	if (pending?.contactPeriod === contactPeriod) {
		return pending.finding;
	}

	const finding = askForStart(gateway, state);
	pendingQuestions.set(state, {contactPeriod, finding});
	const found = await finding;
	if (pendingQuestions.get(state)?.finding === finding) {
		pendingQuestions.delete(state);
	}

	return found;
};

/** Time that a stream waits for the confirmation before it is sent, and before its answer is forwarded. A new one goes on without it. */
const confirmationWaitMs = 100;

const waitShortly = async (finding: Promise<IncarnationFinding>): Promise<IncarnationFinding> => Promise.race([finding, sleep(confirmationWaitMs, 'unknown' as const)]);

/** Confirms the incarnation before a stream is sent. One that has begun waits for the answer, a new one only shortly. */
export const confirmBeforeSend = async (gateway: GatewayState, state: BackendState, isContinued: boolean): Promise<IncarnationFinding> => {
	if (!mayBeOther(state)) {
		return 'confirmed';
	}

	const finding = confirmIncarnation(gateway, state);
	return isContinued ? finding : waitShortly(finding);
};

/** What is known of the version that answers when the answer begins. */
export type AnsweringVersion = {
	/** Undefined if it is not known yet. */
	readonly softwareVersion: string | undefined;
	/** Resolves with the version if it becomes known while the answer is under way. */
	readonly later: Promise<string | undefined> | undefined;
};

/** Determines which version answers, once the head of an answer has arrived. */
export const determineAnsweringVersion = async (gateway: GatewayState, state: BackendState): Promise<AnsweringVersion> => {
	if (!mayBeOther(state)) {
		return {softwareVersion: state.entry.softwareVersion, later: undefined};
	}

	const {contactPeriod} = state.agent;
	const confirmation = confirmIncarnation(gateway, state);
	const toVersion = (finding: IncarnationFinding): string | undefined =>
		finding === 'confirmed' && state.agent.contactPeriod === contactPeriod ? state.entry.softwareVersion : undefined;
	const softwareVersion = toVersion(await waitShortly(confirmation));
	const findLater = async (): Promise<string | undefined> => toVersion(await confirmation);
	return {softwareVersion, later: softwareVersion === undefined ? findLater() : undefined};
};
