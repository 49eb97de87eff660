/** Callers on kept connections that send several requests at once, some of which read large answers slowly, and the check that none that was read is lost. */
import {setTimeout as sleep} from 'node:timers/promises';
import {openPacedCaller, type PacedCaller, splitAnswers} from '@shallotpass/platform/stand-ins/paced-caller.js';
import {type RawRequest} from '@shallotpass/platform/stand-ins/raw-caller.js';
import {type RouteName} from '@shallotpass/platform/stand-ins/send-call.js';
import {type BackendRun, type History, type PipelinedCall} from './history.js';
import {type SoakCluster} from './soak-cluster.js';

/** Number of such callers. */
export const pipeliningCallers = 4;

const routes: readonly RouteName[] = ['read', 'book', 'ask', 'draft'];

/** Requests that are sent at once. */
const maxBatch = 4;

/** Share of the connections that are read slowly, with larger answers, and bytes that they read in a millisecond at least and at most. */
const slowShare = 0.3;
const minPace = 800;
const maxPace = 3000;

/** Bytes added to an answer that is read slowly, or to each of its events. */
const maxPaddingBytes = 40_000;

/** Share of the batches after which the connection is kept. */
const keptShare = 0.8;

const maxPauseMs = 120;

/** Time that the deadline of a request leaves. */
const deadlineMs = 5000;

/** Time after which a caller closes its connection, beyond the deadlines of its requests. */
const patienceMs = 12_000;

const pollMs = 10;

export type PipeliningCallerOptions = {
	readonly cluster: SoakCluster;
	readonly name: string;
	readonly random: () => number;
	/** No new request is sent after this signal is aborted. */
	readonly signal: AbortSignal;
};

type Conversation = {
	readonly caller: PacedCaller;
	readonly daemon: string;
	readonly requests: Array<RawRequest & {readonly sentAt: number}>;
};

const hasEnded = (caller: PacedCaller): boolean => caller.hasEnded() || caller.getError() !== undefined;

/** Waits until all requests are answered or the connection has ended. Returns whether it may be used again. */
const waitForAnswers = async ({caller, requests}: Conversation): Promise<boolean> => {
	const end = performance.now() + patienceMs;
	while (!hasEnded(caller) && splitAnswers(caller.getReceived()).filter(({isComplete}) => isComplete).length < requests.length) {
		if (performance.now() > end) {
			return false;
		}

		await sleep(pollMs); // eslint-disable-line no-await-in-loop -- a poll
	}

	return !hasEnded(caller);
};

const listCalls = ({caller, daemon, requests}: Conversation): PipelinedCall[] => {
	const endedAt = performance.now();
	const answers = splitAnswers(caller.getReceived());
	return requests.map(({id, route, sentAt}, index) => {
		const answer = answers[index];
		return {
			id, route, daemon, sentAt, endedAt, error: caller.getError(), hasEnded: hasEnded(caller), ...(answer && {answer: {status: answer.status, requestId: answer.requestId, isWhole: answer.isComplete}}),
		};
	});
};

const runConversation = async (options: PipeliningCallerOptions, conversation: Conversation, makeId: () => string): Promise<void> => {
	const {random, signal} = options;
	const isSlow = random() < slowShare;
	if (isSlow) {
		conversation.caller.setPace(minPace + (random() * (maxPace - minPace)));
	}

	while (!signal.aborted) {
		const batch = Array.from({length: 1 + Math.floor(random() * maxBatch)}, (): RawRequest => ({
			route: routes[Math.floor(random() * routes.length)]!,
			id: makeId(),
			deadlineMs,
			...(isSlow && {headers: {'X-Padding-Bytes': String(Math.floor(random() * maxPaddingBytes))}}),
		}));
		const isKept = random() < keptShare;
		conversation.requests.push(...batch.map(request => ({...request, sentAt: performance.now()})));
		conversation.caller.send(...batch);
		// eslint-disable-next-line no-await-in-loop -- one batch after the other
		if (!await waitForAnswers(conversation) || !isKept) {
			return;
		}

		await sleep(random() * maxPauseMs); // eslint-disable-line no-await-in-loop -- one batch after the other
	}
};

/** Sends batches until the signal is aborted. */
export const runPipeliningCaller = async (options: PipeliningCallerOptions): Promise<PipelinedCall[]> => {
	const {cluster, name, random, signal} = options;
	const calls: PipelinedCall[] = [];
	let sent = 0;
	const makeId = (): string => `${name}-${sent++}`;
	while (!signal.aborted) {
		const daemon = cluster.daemons[Math.floor(random() * cluster.daemons.length)]!;
		try {
			// eslint-disable-next-line no-await-in-loop -- one connection after the other
			const conversation: Conversation = {caller: await openPacedCaller(daemon.process.settings.listen.callers), daemon: daemon.process.id, requests: []};
			await runConversation(options, conversation, makeId); // eslint-disable-line no-await-in-loop -- one connection after the other
			calls.push(...listCalls(conversation));
			conversation.caller.close();
		} catch {
			// The daemon takes no connection.
		}

		await sleep(random() * maxPauseMs); // eslint-disable-line no-await-in-loop -- one connection after the other
	}

	return calls;
};

/** Statuses that promise that the call was not run and will not be. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const mayRepeat = ({route}: PipelinedCall): boolean => route === 'read' || route === 'ask';

const describeFault = (call: PipelinedCall, runs: readonly BackendRun[], hasOnlyPlannedWork: boolean): string | undefined => {
	const {answer, id} = call;
	if (answer !== undefined && answer.isWhole && answer.requestId !== id) {
		return `received the answer of ${answer.requestId}`;
	}

	const isRun = runs.length > 0;
	if (answer !== undefined && notRunStatuses.has(answer.status) && isRun && !mayRepeat(call)) {
		return `answered ${answer.status}, but ran`;
	}

	// What is not answered whole when its deadline passes is not lost.
	if (!hasOnlyPlannedWork || (isRun && call.endedAt > call.sentAt + deadlineMs)) {
		return undefined;
	}

	if (answer === undefined) {
		if (!call.hasEnded) {
			return 'never answered';
		}

		return isRun ? `ran, and was not answered: ${call.error ?? 'the connection ended'}` : undefined;
	}

	return answer.isWhole && (answer.status === 200 || notRunStatuses.has(answer.status)) ? undefined : `status ${answer.status}, whole ${answer.isWhole}, ${call.error ?? 'no error'}`;
};

export const findPipeliningViolations = ({pipelinedCalls, runs, hasOnlyPlannedWork}: History): string[] => pipelinedCalls.flatMap(call => {
	const fault = describeFault(call, runs.filter(({id}) => id === call.id), hasOnlyPlannedWork);
	return fault === undefined ? [] : [`${call.id} (${call.route} by ${call.daemon}, pipelined): ${fault}`];
});
