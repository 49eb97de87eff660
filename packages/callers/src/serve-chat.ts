/** Chat completions: admission, then tries at engines until the answer is whole. */
import {BackendCallError} from '@shallotpass/backends/call-plain.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type Service} from '@shallotpass/common/configuration-schema.js';
import {defaultStreamMs} from '@shallotpass/common/constants.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {startOfStream} from '@shallotpass/backends/collect-chunks.js';
import {
	chatRequestSchema,
	getExpectedTokens,
	joinPrompt,
	type ChatRequest,
} from '@shallotpass/backends/openai-format.js';
import {estimateTokens, hashPrompt} from '@shallotpass/core/routing/hash-prompt.js';
import {computeBackoff} from '@shallotpass/core/retries/retry-budget.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {findServiceByModel, makeServiceId, type TeamAccount} from '@shallotpass/tasks/in-force.js';
import {makeFingerprint} from '@shallotpass/tasks/suspect-book.js';
import {
	authenticate,
	isPatient,
	readClass,
	readDeadline,
	type CallerCall,
} from './caller-call.js';
import {type ChatWork, type Progress, type Tried} from './chat-work.js';
import {chooseEngine} from './choose-engine.js';
import {readCallerBody} from './read-body.js';
import {type RetryBudgets} from './retry-budgets.js';
import {acquireSecondRun, checkQuarantine} from './second-run.js';
import {type CallerServices} from './services.js';
import {describeLastError, tryEngine} from './try-engine.js';
import {trySuspect} from './try-suspect.js';

const mostTries = 6;

/**
 * Tries that ended before anything was sent. They cost a refused connection and put no load on
 * anybody; when a whole zone goes at once, a request may meet each of its engines before the list
 * says that they have gone. Counted with the others they used up all tries in 2 of 3 runs.
 */
const mostUnsentTries = 32;

const parseChat = (text: string): ChatRequest => {
	let body: unknown;
	try {
		body = JSON.parse(text);
	} catch (error) {
		throw new ServingError(`the body is not JSON: ${error instanceof Error ? error.message : 'unreadable'}`, {kind: 'invalid_request'});
	}

	const parsed = chatRequestSchema.safeParse(body);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new ServingError(`${issue.path.join('.') || 'body'}: ${issue.message}`, {kind: 'invalid_request'});
	}

	return parsed.data;
};

const findChatService = (services: CallerServices, account: TeamAccount, model: string): Service => {
	const service = findServiceByModel(services.configuration.getInForce(), account, model);
	if (service === undefined) {
		throw new ServingError(`model ${model.slice(0, 100)} is not served to client account ${account.account.name}`, {kind: 'not_found'});
	}

	return service;
};

const isUnsent = (failure: unknown): boolean => failure instanceof BackendCallError && !failure.wasSent;

/**
 * Whether another try makes sense and is allowed. Moving off a leaving engine and
 * going on with an answer that the caller has a part of spend no budget: the work was
 * accepted, each stream goes on at most a few times, and ending it would bring the
 * whole request back. A request that has not begun to be answered is retried within
 * the budget, so that an outage does not multiply the load.
 */
const mayTryAgain = (work: ChatWork, progress: Progress, {engine, failure}: Tried): boolean => {
	if (isUnsent(failure)) {
		progress.tries--;
		progress.unsentTries++;
		return progress.unsentTries < mostUnsentTries;
	}

	if (progress.tries >= mostTries) {
		return false;
	}

	if (work.chat.stream !== true && work.call.response.headersSent) {
		return false;
	}

	const isGoingOn = progress.position.tokens > 0 || work.services.registry.isLeaving(engine.id);
	return isGoingOn || work.budgets.trySpend(work.budgetName);
};

const tryOnce = async (work: ChatWork, progress: Progress): Promise<Tried> => {
	const {suspects, environment} = work.services;
	checkQuarantine(work.services, work.fingerprint);
	if (suspects.get(work.fingerprint) !== undefined) {
		const run = await acquireSecondRun(work.services, work.fingerprint, work.deadline, work.call.goneSignal);
		if (run !== undefined) {
			return trySuspect(work, progress, run);
		}
	}

	const engine = chooseEngine(work, progress, new Set());
	if (progress.tries > 1) {
		environment.metrics.retries.inc({service: work.serviceId});
	}

	return {engine, failure: await tryEngine(work, progress, engine, () => {/* not on probation */})};
};

const answerChat = async (work: ChatWork): Promise<void> => {
	const {clock, random} = work.services.environment;
	const progress: Progress = {
		position: startOfStream, excluded: new Set(), tries: 0, unsentTries: 0, firstTokenAt: undefined,
	};
	for (;;) {
		progress.tries++;
		/* eslint-disable no-await-in-loop -- one try after the other */
		const {engine, failure} = await tryOnce(work, progress);
		if (failure === undefined) {
			return;
		}

		progress.excluded.add(engine.id);
		if (!mayTryAgain(work, progress, {engine, failure})) {
			checkQuarantine(work.services, work.fingerprint);
			throw describeLastError(failure);
		}

		const backoffs = Math.max(progress.tries - 2, progress.unsentTries - mostTries);
		if (backoffs > 0) {
			await clock.waitUntil(Math.min(work.deadline, computeBackoff(clock.now(), backoffs, random)) as Deadline, work.services.environment.signal);
		}
		/* eslint-enable no-await-in-loop */
	}
};

export const serveChat = async (call: CallerCall, services: CallerServices, budgets: RetryBudgets): Promise<string> => {
	const {environment, configuration, gate} = services;
	const {clock, settings} = environment;
	const inForce = configuration.getInForce();
	const account = authenticate(call.request, inForce);
	const body = await readCallerBody(call.request, settings.limits.maxBodyBytes);
	const chat = parseChat(new TextDecoder().decode(body));
	const service = findChatService(services, account, chat.model);
	const serviceId = makeServiceId(account.team, service.name);
	const asked = readDeadline(call.request, clock.now());
	const prompt = joinPrompt(chat);
	const work: ChatWork = {
		call,
		services,
		budgets,
		budgetName: `${serviceId} ${account.account.name}`,
		chat,
		service,
		serviceId,
		callClass: readClass(call.request, inForce, account, service),
		fingerprint: makeFingerprint([chat.model, prompt]),
		promptTokens: estimateTokens(prompt.length),
		chain: hashPrompt(prompt),
		deadline: asked ?? addMilliseconds(clock.now(), defaultStreamMs),
		isDeadlineAsked: asked !== undefined,
	};
	budgets.earn(work.budgetName);
	checkQuarantine(services, work.fingerprint);
	const hop = call.hop.makeChild('admission');
	const release = await gate.enter({
		id: call.requestId,
		team: account.team,
		account: account.account,
		serviceId,
		rank: work.callClass.rank,
		isPatient: isPatient(work.callClass),
		firstTokenMs: work.callClass.latency?.firstTokenMs,
		work: work.promptTokens + getExpectedTokens(chat),
		deadline: work.deadline,
		signal: call.goneSignal,
	});
	hop.end();
	try {
		await answerChat(work);
	} finally {
		release();
	}

	return serviceId;
};
