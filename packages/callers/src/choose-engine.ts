/** Selects the engine for the next attempt of a chat request. */
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {getExpectedTokens} from '@shallotpass/backends/openai-format.js';
import {predictFirstToken} from '@shallotpass/core/routing/predict-wait.js';
import {type BackendView, type RoutedCall} from '@shallotpass/core/routing/types.js';
import {getLatencyTarget} from './caller-call.js';
import {type ChatContext, type ChatProgress} from './chat-context.js';

const retryAfterMs = 1000;

const makeRoutedCall = (context: ChatContext, progress: ChatProgress, avoided: ReadonlySet<string>): RoutedCall => ({
	service: context.serviceId,
	promptTokens: context.promptTokens + progress.position.tokens,
	prefixHashes: context.prefixHashes,
	expectedTokens: Math.max(1, getExpectedTokens(context.chat) - progress.position.tokens),
	now: context.services.environment.clock.now(),
	availabilityZone: context.services.environment.settings.instance.availabilityZone,
	target: getLatencyTarget(context.callClass),
	excluded: avoided.size === 0 ? progress.excluded : new Set([...progress.excluded, ...avoided]),
});

/**
 * Selects an engine that is not in `avoided`. Engines on which an attempt failed are allowed again
 * only if no other engine is available and `avoided` is empty.
 */
export const chooseEngine = (context: ChatContext, progress: ChatProgress, avoided: ReadonlySet<string>): BackendView => {
	const {registry, environment} = context.services;
	const span = context.call.span.startChild('routing');
	const routedCall = makeRoutedCall(context, progress, avoided);
	let chosen = registry.choose(routedCall);
	if (chosen === undefined && progress.excluded.size > 0 && avoided.size === 0) {
		// Attempts on all engines have failed, so start over: an earlier engine may have recovered.
		progress.excluded.clear();
		chosen = registry.choose({...routedCall, excluded: new Set()});
	}

	span.end();
	if (chosen === undefined) {
		throw new ServingError(`no engine serves ${context.service.name} now`, {kind: 'no_backend', retryAt: addMilliseconds(environment.clock.now(), retryAfterMs)});
	}

	const predictedWaitMs = predictFirstToken(chosen, routedCall, registry.countCachedBlocks(chosen.id, context.prefixHashes));
	if (context.hasCallerDeadline && chosen.speed.samples > 0 && !progress.position.hasStarted && routedCall.now + predictedWaitMs > context.deadline) {
		throw new ServingError(`the first token is expected in ${Math.round(predictedWaitMs)} ms, after the deadline`, {
			kind: 'deadline_unreachable', retryAt: addMilliseconds(routedCall.now, retryAfterMs),
		});
	}

	return chosen;
};
