/** Serves chat completions: admits the request, then attempts it on engines until the response is complete. */
import {BackendCallError} from '@shallotpass/backends/call-plain.js';
import {EngineRefusal, otherVersionStatus} from '@shallotpass/backends/engine-stream.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type Service} from '@shallotpass/common/configuration-schema.js';
import {defaultStreamTimeoutMs} from '@shallotpass/common/constants.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {initialStreamPosition} from '@shallotpass/backends/collect-chunks.js';
import {
	chatRequestSchema,
	getExpectedTokens,
	joinPrompt,
	type ChatRequest,
} from '@shallotpass/backends/openai-format.js';
import {estimateTokens, hashPrompt} from '@shallotpass/core/routing/hash-prompt.js';
import {computeBackoff} from '@shallotpass/core/retries/retry-budget.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {findServiceByModel, makeServiceId, type TeamAccount} from '@shallotpass/tasks/active-configurations.js';
import {makeFingerprint} from '@shallotpass/tasks/suspect-registry.js';
import {
	authenticate,
	isBackgroundClass,
	readClass,
	readDeadline,
	type CallerCall,
} from './caller-call.js';
import {type ChatContext, type ChatProgress, type AttemptResult} from './chat-context.js';
import {chooseEngine} from './choose-engine.js';
import {readCallerBody} from './read-body.js';
import {type RetryBudgets} from './retry-budgets.js';
import {acquireSecondRun, checkQuarantine} from './second-run.js';
import {type CallerServices} from './services.js';
import {describeLastError, runEngineAttempt} from './run-engine-attempt.js';
import {runSuspectAttempt} from './run-suspect-attempt.js';

const maxAttempts = 6;

/**
 * Maximum number of attempts that fail before anything is sent. They cost a refused connection and put no load
 * on an engine. When a whole availability zone fails, a request may be sent to each of its engines before the
 * instance list reports them gone. Counting these as ordinary attempts exhausted the limit in 2 of 3 runs.
 */
const maxUnsentAttempts = 32;

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
	const service = findServiceByModel(services.configuration.getActiveConfigurations(), account, model);
	if (service === undefined) {
		throw new ServingError(`model ${model.slice(0, 100)} is not served to client account ${account.account.name}`, {kind: 'not_found'});
	}

	return service;
};

/** Whether the attempt ran nothing: no engine was reached, or it has another software version than the one that began the stream. */
const isUnsent = (failure: unknown): boolean =>
	(failure instanceof BackendCallError && !failure.wasSent) || (failure instanceof EngineRefusal && failure.status === otherVersionStatus);

/**
 * Whether another attempt is useful and allowed. Moving off a leaving engine and continuing a partial response
 * do not spend the retry budget: the request was accepted, a stream continues only a few times, and ending it would
 * make the caller send the whole request again. A request without any response yet is retried within the budget,
 * so that an outage does not multiply the load.
 */
const canAttemptAgain = (context: ChatContext, progress: ChatProgress, {engine, failure}: AttemptResult): boolean => {
	if (isUnsent(failure)) {
		progress.attempts--;
		progress.unsentAttempts++;
		return progress.unsentAttempts < maxUnsentAttempts;
	}

	if (progress.attempts >= maxAttempts) {
		return false;
	}

	if (context.chat.stream !== true && context.call.response.headersSent) {
		return false;
	}

	const isContinuation = progress.position.tokens > 0 || context.services.registry.isLeaving(engine.id);
	return isContinuation || context.budgets.takeRetry(context.budgetName);
};

const runAttempt = async (context: ChatContext, progress: ChatProgress): Promise<AttemptResult> => {
	const {suspects, environment} = context.services;
	checkQuarantine(context.services, context.fingerprint);
	if (suspects.get(context.fingerprint) !== undefined) {
		const secondRun = await acquireSecondRun(context.services, context.fingerprint, context.deadline, context.call.callerGoneSignal);
		if (secondRun !== undefined) {
			return runSuspectAttempt(context, progress, secondRun);
		}
	}

	const engine = chooseEngine(context, progress, new Set());
	if (progress.attempts > 1) {
		environment.metrics.retries.inc({service: context.serviceId});
	}

	return {engine, failure: await runEngineAttempt(context, progress, engine, () => {/* nothing to clear: the request is not a suspect */})};
};

const respondToChat = async (context: ChatContext): Promise<void> => {
	const {clock, random} = context.services.environment;
	const progress: ChatProgress = {
		position: initialStreamPosition, excluded: new Set(), attempts: 0, unsentAttempts: 0, firstTokenAt: undefined,
	};
	for (;;) {
		progress.attempts++;
		/* eslint-disable no-await-in-loop -- attempts run one at a time */
		const {engine, failure} = await runAttempt(context, progress);
		if (failure === undefined) {
			return;
		}

		progress.excluded.add(engine.id);
		if (!canAttemptAgain(context, progress, {engine, failure})) {
			checkQuarantine(context.services, context.fingerprint);
			throw describeLastError(failure);
		}

		const backoffs = Math.max(progress.attempts - 2, progress.unsentAttempts - maxAttempts);
		if (backoffs > 0) {
			await clock.waitUntil(Math.min(context.deadline, computeBackoff(clock.now(), backoffs, random)) as Deadline, context.services.environment.signal);
		}
		/* eslint-enable no-await-in-loop */
	}
};

export const serveChat = async (call: CallerCall, services: CallerServices, budgets: RetryBudgets): Promise<string> => {
	const {environment, configuration, gate} = services;
	const {clock, settings} = environment;
	const activeConfigurations = configuration.getActiveConfigurations();
	const account = authenticate(call.request, activeConfigurations);
	const body = await readCallerBody(call, services);
	const chat = parseChat(new TextDecoder().decode(body));
	const service = findChatService(services, account, chat.model);
	const serviceId = makeServiceId(account.team, service.name);
	const requestedDeadline = readDeadline(call.request, clock.now());
	const prompt = joinPrompt(chat);
	const context: ChatContext = {
		call,
		services,
		budgets,
		budgetName: `${serviceId} ${account.account.name}`,
		chat,
		service,
		serviceId,
		callClass: readClass(call.request, activeConfigurations, account, service),
		fingerprint: makeFingerprint([chat.model, prompt]),
		promptTokens: estimateTokens(prompt.length),
		prefixHashes: hashPrompt(prompt),
		deadline: requestedDeadline ?? addMilliseconds(clock.now(), defaultStreamTimeoutMs),
		hasCallerDeadline: requestedDeadline !== undefined,
	};
	budgets.earn(context.budgetName);
	checkQuarantine(services, context.fingerprint);
	const span = call.span.startChild('admission');
	const release = await gate.admit({
		id: call.requestId,
		team: account.team,
		account: account.account,
		serviceId,
		rank: context.callClass.rank,
		isBackground: isBackgroundClass(context.callClass),
		firstTokenMs: context.callClass.latency?.firstTokenMs,
		work: context.promptTokens + getExpectedTokens(chat),
		deadline: context.deadline,
		signal: call.callerGoneSignal,
	});
	span.end();
	try {
		await respondToChat(context);
	} finally {
		release();
	}

	return serviceId;
};
