/** Callers in a storm: each asks again and again, checks what it gets and writes it down. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	askStream, reserve, type CallResult, type StreamResult,
} from '../caller-client.js';
import {getDaemonId, pickOne, type StormWorld} from './storm-world.js';
import {type CallEvent, type Told} from './types.js';

const pauseMs = 10;

/** Sendings of one reservation, through whichever daemon, until its outcome is known. */
const mostSendings = 6;

const tellsOf = (problem: {readonly executed?: unknown} | undefined): Told => {
	if (problem === undefined) {
		return 'cut';
	}

	return problem.executed === 'no' ? 'not_run' : 'unknown';
};

const describeStream = (result: StreamResult): Pick<CallEvent, 'told' | 'errorKind' | 'isOwnAnswer'> => ({
	told: result.isWhole ? 'answered' : tellsOf(result.problem),
	errorKind: result.problem?.kind,
	isOwnAnswer: result.strayTokens === 0,
});

const describeOnce = (result: CallResult, body: string): Pick<CallEvent, 'told' | 'errorKind' | 'isOwnAnswer'> => result.status === 200
	? {told: 'answered', errorKind: undefined, isOwnAnswer: result.body.echo === body}
	: {told: tellsOf(result.body), errorKind: String(result.body.kind), isOwnAnswer: true};

const cutOff = {told: 'cut', errorKind: undefined, isOwnAnswer: true} as const;

type Act = (address: string) => Promise<Pick<CallEvent, 'told' | 'errorKind' | 'isOwnAnswer'>>;

const actOrCut = async (act: Act, address: string): ReturnType<Act> => {
	try {
		return await act(address);
	} catch {
		return cutOff;
	}
};

const recordCall = async (
	world: StormWorld,
	call: Pick<CallEvent, 'kind' | 'key'>,
	act: Act,
): Promise<CallEvent> => {
	const daemon = pickOne(world.daemons, world.random);
	const sentAt = Date.now();
	const outcome = await actOrCut(act, daemon.callers);
	const event = {
		...call, ...outcome, daemon: getDaemonId(daemon), sentAt, endedAt: Date.now(),
	};
	world.history.calls.push(event);
	return event;
};

export const askRecorded = async (world: StormWorld, marker: string, tokens: number): Promise<CallEvent> =>
	recordCall(world, {kind: 'stream', key: marker}, async address => describeStream(await askStream({address, marker, tokens})));

const reserveUntilKnown = async (world: StormWorld, key: string): Promise<void> => {
	const body = JSON.stringify({key});
	for (let sending = 0; sending < mostSendings; sending++) {
		// eslint-disable-next-line no-await-in-loop -- sent again only after an answer
		const event = await recordCall(world, {kind: 'once', key: body}, async address => describeOnce(await reserve({address, key, body}), body));
		if (event.told === 'answered') {
			return;
		}

		await sleep(pauseMs * (2 ** sending)); // eslint-disable-line no-await-in-loop -- time to mend
	}
};

export const runStreamCaller = async (world: StormWorld, caller: number, tokens: number): Promise<void> => {
	for (let index = 0; !world.isOver; index++) {
		/* eslint-disable no-await-in-loop -- one question after the other */
		await askRecorded(world, `s${caller}-${index}`, tokens);
		await sleep(pauseMs);
		/* eslint-enable no-await-in-loop */
	}
};

export const runReservationCaller = async (world: StormWorld, caller: number): Promise<void> => {
	for (let index = 0; !world.isOver; index++) {
		/* eslint-disable no-await-in-loop -- one reservation after the other */
		await reserveUntilKnown(world, `r${caller}-${index}`);
		await sleep(pauseMs);
		/* eslint-enable no-await-in-loop */
	}
};

/** Writes down each change of the version that a daemon has in force. */
export const watchVersions = async (world: StormWorld): Promise<void> => {
	const last = new Map<string, number>();
	while (!world.isOver) {
		for (const daemon of world.daemons) {
			const version = daemon.getVersion('default');
			const id = getDaemonId(daemon);
			if (last.get(id) !== version) {
				last.set(id, version);
				world.history.versions.push({daemon: id, version, at: Date.now()});
			}
		}

		await sleep(pauseMs); // eslint-disable-line no-await-in-loop -- looks again
	}
};
