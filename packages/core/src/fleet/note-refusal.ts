/** Starts that the cloud refuses are asked for again later and later, so that a wave of refusals meets no storm of requests. */
import {makeOfferKey, type OfferName, type Refusal} from './types.js';

const mostDoublings = 6;

type RefusalOptions = {
	/** The last one of the offer. */
	readonly known: Refusal | undefined;
	readonly offer: OfferName;
	readonly now: number;
	/** Wait after a first refusal, in milliseconds. */
	readonly firstWaitMs: number;
	readonly random: () => number;
};

/** After so many waits without a refusal the next one counts as a first. */
const forgottenAfterWaits = 4;

export const noteRefusal = ({known, offer, now, firstWaitMs, random}: RefusalOptions): Refusal => {
	const isOld = known !== undefined && now > known.until + (firstWaitMs * forgottenAfterWaits * (2 ** known.times));
	const times = Math.min(mostDoublings, (isOld ? 0 : known?.times ?? 0) + 1);
	// Spread over half the wait, so that the holders of all zones do not come back together.
	const until = now + (firstWaitMs * (2 ** (times - 1)) * (0.75 + (random() / 2)));
	return {offer: makeOfferKey(offer), times, until};
};
