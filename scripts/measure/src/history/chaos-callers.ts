/** Callers of a chaos run: they send requests in a loop, verify the responses and record them in the history. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	streamChat, sendReservation, type CallResult, type StreamResult,
} from '../caller-client.js';
import {getDaemonId, pickRandom, type ChaosCluster} from './chaos-cluster.js';
import {type CallEvent, type CallOutcome} from './types.js';

/** Pause between the requests of one caller, and between two polls of the versions. */
const pauseMs = 10;

/** Attempts at one reservation, each through a random daemon, before the caller gives up. */
const maxAttempts = 6;

const getFailureOutcome = (problem: {readonly executed?: unknown} | undefined): CallOutcome => {
	if (problem === undefined) {
		return 'cut';
	}

	return problem.executed === 'no' ? 'not_run' : 'unknown';
};

const toStreamOutcome = (result: StreamResult): Pick<CallEvent, 'outcome' | 'errorKind' | 'isOwnAnswer'> => ({
	outcome: result.isComplete ? 'answered' : getFailureOutcome(result.problem),
	errorKind: result.problem?.kind,
	isOwnAnswer: result.unexpectedTokens === 0,
});

const toReservationOutcome = (result: CallResult, body: string): Pick<CallEvent, 'outcome' | 'errorKind' | 'isOwnAnswer'> => result.status === 200
	? {outcome: 'answered', errorKind: undefined, isOwnAnswer: result.body.echo === body}
	: {outcome: getFailureOutcome(result.body), errorKind: String(result.body.kind), isOwnAnswer: true};

const cutOffOutcome = {outcome: 'cut', errorKind: undefined, isOwnAnswer: true} as const;

type SendCall = (address: string) => Promise<Pick<CallEvent, 'outcome' | 'errorKind' | 'isOwnAnswer'>>;

const sendOrCutOff = async (sendCall: SendCall, address: string): ReturnType<SendCall> => {
	try {
		return await sendCall(address);
	} catch {
		return cutOffOutcome;
	}
};

const recordCall = async (
	cluster: ChaosCluster,
	call: Pick<CallEvent, 'kind' | 'key'>,
	sendCall: SendCall,
): Promise<CallEvent> => {
	const daemon = pickRandom(cluster.daemons, cluster.random);
	const sentAt = Date.now();
	const outcome = await sendOrCutOff(sendCall, daemon.callers);
	const event = {
		...call, ...outcome, daemon: getDaemonId(daemon), sentAt, endedAt: Date.now(),
	};
	cluster.history.calls.push(event);
	return event;
};

export const streamChatAndRecord = async (cluster: ChaosCluster, marker: string, tokens: number): Promise<CallEvent> =>
	recordCall(cluster, {kind: 'stream', key: marker}, async address => toStreamOutcome(await streamChat({address, marker, tokens})));

/** Retries a reservation with the same key until it is answered or the attempts are used up. */
const reserveUntilKnown = async (cluster: ChaosCluster, key: string): Promise<void> => {
	const body = JSON.stringify({key});
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- a retry follows the previous response
		const event = await recordCall(cluster, {kind: 'once', key: body}, async address => toReservationOutcome(await sendReservation({address, key, body}), body));
		if (event.outcome === 'answered') {
			return;
		}

		await sleep(pauseMs * (2 ** attempt)); // eslint-disable-line no-await-in-loop -- backoff before the next attempt
	}
};

export const runStreamCaller = async (cluster: ChaosCluster, caller: number, tokens: number): Promise<void> => {
	for (let index = 0; !cluster.isOver; index++) {
		/* eslint-disable no-await-in-loop -- requests are sequential */
		await streamChatAndRecord(cluster, `s${caller}-${index}`, tokens);
		await sleep(pauseMs);
		/* eslint-enable no-await-in-loop */
	}
};

export const runReservationCaller = async (cluster: ChaosCluster, caller: number): Promise<void> => {
	for (let index = 0; !cluster.isOver; index++) {
		/* eslint-disable no-await-in-loop -- reservations are sequential */
		await reserveUntilKnown(cluster, `r${caller}-${index}`);
		await sleep(pauseMs);
		/* eslint-enable no-await-in-loop */
	}
};

/** Records every change of the configuration version in force on each daemon. */
export const recordVersions = async (cluster: ChaosCluster): Promise<void> => {
	const lastVersions = new Map<string, number>();
	while (!cluster.isOver) {
		for (const daemon of cluster.daemons) {
			const version = daemon.getVersion('default');
			const id = getDaemonId(daemon);
			if (lastVersions.get(id) !== version) {
				lastVersions.set(id, version);
				cluster.history.versions.push({daemon: id, version, at: Date.now()});
			}
		}

		await sleep(pauseMs); // eslint-disable-line no-await-in-loop -- polls
	}
};
