/** Callers that keep their connections open until the daemon has ended, whose streams engines pause, and the check that no such stream is ended before its end. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {makeSettings} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type RouteName, sendCall, shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {eventsPerStream} from './format-events.js';
import {
	type BackendRun, type CallOutcome, type History, type KeptStream, type PlannedWork, type Span,
} from './history.js';
import {type SoakCluster} from './soak-cluster.js';

/** Number of such callers. */
export const keepingCallers = 8;

const idPrefix = 'kept-';

/** Whether engines pause in the answer to this request. */
export const isKeptStream = (requestId: string): boolean => requestId.startsWith(idPrefix);

/** Shortest and longest silence of an engine that goes on. */
const minPauseMs = 500;
const maxPauseMs = 4000;

export type StreamPause = {
	/** Number of the event before which the engine pauses. */
	readonly event: number;
	readonly forMs: number;
};

/** Draws where an engine pauses in a stream. It is the same for each run of the stream. */
export const drawPause = (requestId: string): StreamPause => {
	const random = makeRandom(hashText(requestId));
	return {event: 1 + Math.floor(random() * eventsPerStream), forMs: Math.round(minPauseMs + (random() * (maxPauseMs - minPauseMs)))};
};

/** Share of the streams that may be resumed, of those whose callers leave, and of those that go to the daemon of the stream before. */
const resumableShare = 0.7;
const leavingShare = 0.1;
const sameDaemonShare = 0.8;

/** Longest stay of a caller that leaves, and pause between two streams. */
const maxStayMs = 2500;
const maxBreakMs = 100;

/** Time limit of the routes. */
const timeoutMs = 5000;

/** A caller gives up after this time, beyond the time limit of its route. */
const patienceMs = 8000;

export type KeepingCallerOptions = {
	readonly cluster: SoakCluster;
	readonly name: string;
	readonly random: () => number;
	/** No new stream is begun after this signal is aborted. */
	readonly signal: AbortSignal;
};

type Sent = {readonly end: CallOutcome | undefined; readonly hasLeft: boolean};

const sendStream = async (call: Pick<KeptStream, 'id' | 'route' | 'body'> & {readonly address: string; readonly agent: http.Agent; readonly stayMs: number | undefined}): Promise<Sent> => {
	const {stayMs} = call;
	const leave = AbortSignal.timeout(stayMs ?? patienceMs);
	try {
		const answer = await sendCall({...call, signal: leave});
		const {status, sealedBy, requestId, body, isComplete} = answer;
		return {
			hasLeft: leave.aborted && !isComplete,
			end: {
				kind: 'answered', status, vouchedBy: sealedBy, requestId, body, isWhole: isComplete,
			},
		};
	} catch (error) {
		return leave.aborted ? {end: undefined, hasLeft: stayMs !== undefined} : {end: {kind: 'cut', reason: error instanceof Error ? error.message : String(error)}, hasLeft: false};
	}
};

/** Sends streams one after another until the signal is aborted. */
export const runKeepingCaller = async ({cluster, name, random, signal}: KeepingCallerOptions): Promise<KeptStream[]> => {
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	const streams: KeptStream[] = [];
	let daemon = cluster.daemons[Math.floor(random() * cluster.daemons.length)]!;
	while (!signal.aborted) {
		if (random() > sameDaemonShare) {
			daemon = cluster.daemons[Math.floor(random() * cluster.daemons.length)]!;
		}

		const route: RouteName = random() < resumableShare ? 'ask' : 'draft';
		const id = `${idPrefix}${name}-${streams.length}`;
		const stayMs = random() < leavingShare ? Math.round(random() * maxStayMs) : undefined;
		const stream = {
			id, daemon: daemon.process.id, route, key: shopKey, path: `/${route}/a`, body: 'x', sentAt: performance.now(),
		};
		// eslint-disable-next-line no-await-in-loop -- one stream after the other
		const sent = await sendStream({
			...stream, address: daemon.process.settings.listen.callers, agent, stayMs,
		});
		streams.push({...stream, ...sent, endedAt: performance.now()});
		await sleep(random() * maxBreakMs); // eslint-disable-line no-await-in-loop -- one stream after the other
	}

	agent.destroy();
	return streams;
};

const {graceMs, configurationMs, stableMs} = makeSettings('any', '', '').bounds;

/** Time after the grace period in which a stop still counts as planned work. */
const afterGraceMs = 1000;

/** A request that is sent later after SIGTERM may not be at work until the end of the grace period, and the part of that period which is its end. */
const lastCountedSendMs = 3000;
const endShare = 1 / 6;

/** An answer that ends so close to its time limit has reached it. */
const deadlineMarginMs = 50;

/** A daemon restarts or repeats nothing within this time of an engine's fault. */
const faultMarginMs = 500;

const overlaps = ({from, until}: Span, start: number, end: number): boolean => from <= end && until >= start;

/** Finds the planned work around which the stream is judged. */
const findPlannedWork = ({plannedWork}: History, {daemon, sentAt, endedAt}: KeptStream): PlannedWork | undefined => plannedWork.find(work => work.daemon === daemon && endedAt >= work.at && (work.kind === 'stop'
	? sentAt <= work.at + graceMs + afterGraceMs
	: sentAt <= work.at + configurationMs));

/** Whether a fault other than planned work may have ended the stream. */
const isDisturbed = (history: History, {daemon, sentAt, endedAt}: KeptStream, runs: readonly BackendRun[]): boolean => {
	const isHit = (span: Span): boolean => overlaps(span, sentAt - stableMs, endedAt);
	const backends = new Set(runs.map(({backend}) => backend));
	return history.disturbances.some(span => span.isPlanned !== true && (span.daemon === undefined || span.daemon === daemon) && isHit(span))
		|| history.cuts.some(cut => cut.daemons.includes(daemon) && isHit(cut))
		|| [...history.linkDisturbances, ...history.backendFaults].some(span => backends.has(span.backend) && overlaps(span, sentAt - faultMarginMs, endedAt))
		|| history.crashes.some(at => at >= sentAt - faultMarginMs && at <= endedAt);
};

/** Whether the process ended while an engine was at work on the stream. */
const isAtWorkAtEnd = ({kind, at}: PlannedWork, {sentAt, endedAt}: KeptStream, runs: readonly BackendRun[]): boolean => {
	const endFrom = at + (graceMs * (1 - endShare));
	return kind === 'stop' && sentAt <= at + lastCountedSendMs && endedAt >= endFrom && runs.some(run => (run.endedAt ?? Infinity) >= endFrom);
};

export type JudgedStreams = {
	/** Streams of sound engines around planned work. */
	readonly judged: number;
	readonly violations: readonly string[];
};

const countEvents = (end: CallOutcome | undefined): number => end?.kind === 'answered' ? end.body.split('\n\n').length - 1 : 0;

const describeLoss = (stream: KeptStream, {kind, at}: PlannedWork, runs: readonly BackendRun[]): string => {
	const {id, route, daemon, sentAt, endedAt, end} = stream;
	const pause = drawPause(id);
	const how = end?.kind === 'cut' ? `no answer (${end.reason})` : `ended after event ${countEvents(end)}`;
	return `${id} (${route} by ${daemon}): ${how}, ${Math.round(endedAt - sentAt)} ms after its begin and ${Math.round(endedAt - at)} ms after the ${kind}; engines pause for ${pause.forMs} ms before event ${pause.event}; ran at ${runs.map(({backend, endedAt: ranUntil, isClosedByPeer}) => `${backend} (${isClosedByPeer === true ? 'closed by the daemon' : 'ended'} ${ranUntil === undefined ? 'never' : Math.round(ranUntil - sentAt)} ms)`).join(', ')}`;
};

/** Judges the streams that planned work must not end: those of sound engines, which may be silent, at daemons that nothing else disturbs. */
export const judgeKeptStreams = (history: History): JudgedStreams => {
	const runsById = new Map<string, BackendRun[]>();
	for (const run of history.runs) {
		runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]);
	}

	let judged = 0;
	const violations: string[] = [];
	for (const stream of history.keptStreams) {
		const runs = runsById.get(stream.id) ?? [];
		const work = findPlannedWork(history, stream);
		if (work === undefined || stream.hasLeft || runs.length === 0 || isDisturbed(history, stream, runs)) {
			continue;
		}

		const isWhole = stream.end?.kind === 'answered' && stream.end.isWhole;
		if (!isWhole && (stream.endedAt >= stream.sentAt + timeoutMs - deadlineMarginMs || isAtWorkAtEnd(work, stream, runs))) {
			continue;
		}

		judged++;
		if (!isWhole) {
			violations.push(describeLoss(stream, work, runs));
		}
	}

	return {judged, violations};
};
