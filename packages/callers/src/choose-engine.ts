/** The engine for the next try of a chat request. */
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {getExpectedTokens} from '@shallotpass/backends/openai-format.js';
import {predictFirstToken} from '@shallotpass/core/routing/predict-wait.js';
import {type BackendView, type RoutedCall} from '@shallotpass/core/routing/types.js';
import {getTarget} from './caller-call.js';
import {type ChatWork, type Progress} from './chat-work.js';

const retryMs = 1000;

const makeRoutedCall = (work: ChatWork, progress: Progress, taken: ReadonlySet<string>): RoutedCall => ({
	service: work.serviceId,
	promptTokens: work.promptTokens + progress.position.tokens,
	chain: work.chain,
	expectedTokens: Math.max(1, getExpectedTokens(work.chat) - progress.position.tokens),
	now: work.services.environment.clock.now(),
	availabilityZone: work.services.environment.settings.instance.availabilityZone,
	target: getTarget(work.callClass),
	excluded: taken.size === 0 ? progress.excluded : new Set([...progress.excluded, ...taken]),
});

/** Never one of the taken; one that was tried before only when no other is left and none is taken. */
export const chooseEngine = (work: ChatWork, progress: Progress, taken: ReadonlySet<string>): BackendView => {
	const {registry, environment} = work.services;
	const hop = work.call.hop.makeChild('routing');
	const routed = makeRoutedCall(work, progress, taken);
	let chosen = registry.choose(routed);
	if (chosen === undefined && progress.excluded.size > 0 && taken.size === 0) {
		// All were tried; the first may have come back.
		progress.excluded.clear();
		chosen = registry.choose({...routed, excluded: new Set()});
	}

	hop.end();
	if (chosen === undefined) {
		throw new ServingError(`no engine serves ${work.service.name} now`, {kind: 'no_backend', retryAt: addMilliseconds(environment.clock.now(), retryMs)});
	}

	const wait = predictFirstToken(chosen, routed, registry.countCached(chosen.id, work.chain));
	if (work.isDeadlineAsked && chosen.speed.samples > 0 && !progress.position.hasStarted && routed.now + wait > work.deadline) {
		throw new ServingError(`the first token is expected in ${Math.round(wait)} ms, after the deadline`, {kind: 'deadline_unreachable', retryAt: addMilliseconds(routed.now, retryMs)});
	}

	return chosen;
};
