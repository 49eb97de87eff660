/** Records what calls tell about requests that may crash backend servers. */
import {
	listSharedParts, recordDeath, recordSurvival, refuteDeath,
} from '@shallotpass/core/crashes/crash-ledger.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type BackendState} from '../calls/backend-registry.js';
import {type GatewayState} from '../gateway-state.js';
import {announceVerdicts} from './announce-verdicts.js';
import {type SentCall, toRequestTraits} from './request-traits.js';
import {endTrial} from './try-verdict.js';

/** An answer that went on for so long has not crashed its backend server by its beginning. */
const survivalMs = 500;

/** Whether the answer of a call that broke had just begun, or had not, so that it may be the cause. */
export const isAtBeginning = (gateway: GatewayState, answeredAt: number | undefined): boolean =>
	answeredAt === undefined || gateway.clocks.steady() < answeredAt + survivalMs;

/** Records that a backend server ended under a call whose answer was at its beginning. */
export const recordCrash = (gateway: GatewayState, state: BackendState, sent: SentCall, answeredAt: number | undefined): void => {
	const traits = toRequestTraits(sent);
	recordDeath(gateway.crashes, traits, {
		incarnation: state.incarnationHash, at: gateway.clocks.trueTime(), request: hashText(traits.digest), hasBegun: answeredAt !== undefined,
	}, gateway.clocks.steady());
	gateway.unreportedCrashes.areOwn = true;
	gateway.log.write('state', 'call_suspected', {
		request: sent.call.id, backend: state.entry.id, parts: listSharedParts(traits.partIds).join(','), hasBegun: answeredAt !== undefined, digest: traits.digest,
	});
	announceVerdicts(gateway);
};

/** Takes back that a backend server ended, as another daemon reaches it. */
export const refuteCrash = (gateway: GatewayState, {incarnationHash}: BackendState): void => {
	refuteDeath(gateway.crashes, incarnationHash, gateway.clocks.trueTime(), gateway.clocks.steady());
	gateway.unreportedCrashes.areOwn = true;
	announceVerdicts(gateway);
};

export type SurvivalTracker = {
	/** To be called while the answer goes on. */
	readonly onData: () => void;
	/** To be called when the answer is whole. */
	readonly onWhole: () => void;
};

/** Records once that the backend server survived the beginning of an answer. */
export const trackSurvival = (gateway: GatewayState, state: BackendState | undefined, sent: SentCall, answeredAt: number): SurvivalTracker => {
	// A peer through which the call was sent records it itself.
	let isRecorded = state === undefined;
	const record = (): void => {
		if (!isRecorded) {
			isRecorded = true;
			endTrial(gateway, sent);
			recordSurvival(gateway.crashes, toRequestTraits(sent), {answer: hashText(`${sent.call.id}/${state!.incarnation}`), at: gateway.clocks.trueTime()}, gateway.clocks.steady());
		}
	};

	return {
		onData() {
			if (!isAtBeginning(gateway, answeredAt)) {
				record();
			}
		},
		onWhole: record,
	};
};
