/** Watches a run of a stream up to its end: whether it is given up here, whether it is stopped to be moved, and whether its end is its own. */
import {getBodyFraming} from './body-framing.js';
import {type IsComplete} from './backend-exchange.js';
import {type DepartureWatch, inactiveWatch, watchDeparture} from './move-run.js';
import {type GivenUpReason} from './record-run-end.js';
import {recordUnframedEnd} from './record-stopped-run.js';
import {keepPermit} from './send-permit.js';
import {type Departure} from './stopped-run.js';
import {
	type AnsweredAttempt, canNamePosition, getLastEventId, type StreamState,
} from './stream-state.js';

/** Time in which the stream of a stopped run is closed by its backend server, before this daemon closes it, in milliseconds. */
const stoppedCloseMs = 250;

export type StreamEndWatch = {
	/** Aborted when the answer is given up. */
	readonly givenUp: AbortSignal;
	readonly giveUp: (reason: GivenUpReason) => void;
	readonly getGivenUpReason: () => GivenUpReason | undefined;
	/** Whether the answer ended as its backend server meant it to. */
	readonly isComplete: IsComplete;
	/** To be called when the answer has ended. Returns what became of its run; one that was stopped is kept in the stream's state. */
	readonly settle: (isWhole: boolean) => Promise<Departure>;
};

const startDepartureWatch = (stream: StreamState, {attempt: {state, connection}}: AnsweredAttempt, onStopped: () => void): DepartureWatch => {
	const {context: {gateway}, call, signal} = stream;
	return state === undefined || stream.stoppedOn.has(state.incarnation)
		? inactiveWatch
		: watchDeparture({
			gateway, call, state, connection, signal, canNamePosition: () => canNamePosition(stream), onStopped,
		});
};

export const watchStreamEnd = (stream: StreamState, answered: AnsweredAttempt): StreamEndWatch => {
	const {context: {gateway}, call, progress} = stream;
	const {response, attempt} = answered;
	const framing = getBodyFraming(response);
	const givenUp = new AbortController();
	let givenUpReason: GivenUpReason | undefined;
	let stoppedTimer: NodeJS.Timeout | undefined;
	const departure = startDepartureWatch(stream, answered, () => {
		stoppedTimer = setTimeout(() => {
			givenUp.abort();
		}, stoppedCloseMs);
	});

	return {
		givenUp: givenUp.signal,
		giveUp(reason) {
			givenUpReason = reason;
			givenUp.abort();
		},
		getGivenUpReason: () => givenUpReason,
		async isComplete() {
			if (framing !== 'connection') {
				return attempt.isComplete();
			}

			// A close is no mark of an end if this daemon may have ordered it.
			const {kind} = await departure.finish();
			return kind === 'stayed' && attempt.isComplete();
		},
		async settle(isWhole) {
			clearTimeout(stoppedTimer);
			const departed = await departure.finish();
			const streamEnd = {framing, lastEvent: getLastEventId(stream)};
			recordUnframedEnd({gateway, call}, streamEnd, {backend: attempt.source, isWhole, order: departed.kind});
			if (departed.kind === 'stopped') {
				stream.stoppedRun = {...streamEnd, run: departed.run};
				stream.placements = departed.run.placements;
				keepPermit(gateway, call, progress, departed.run.permit);
			}

			return departed;
		},
	};
};
