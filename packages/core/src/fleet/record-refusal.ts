/** Exponential backoff for instance starts that the cloud refuses, so that many refusals at once don't cause a burst of retries. */
import {makeOfferKey, type OfferName, type Refusal} from './types.js';

/** Maximum number of refusals that lengthen the wait. Further ones leave it unchanged. */
const maxCountedRefusals = 6;

type RefusalOptions = {
	/** Previous refusal of the same offer. */
	readonly known: Refusal | undefined;
	readonly offer: OfferName;
	readonly now: number;
	/** Wait after the first refusal, in milliseconds. */
	readonly firstWaitMs: number;
	readonly random: () => number;
};

/** Earlier refusals are no longer counted when this multiple of the next wait has passed since the end of the last one. */
const resetAfterWaits = 4;

/** Returns the refusal to record for an offer, with the end of its wait. */
export const recordRefusal = ({known, offer, now, firstWaitMs, random}: RefusalOptions): Refusal => {
	const isExpired = known !== undefined && now > known.until + (firstWaitMs * resetAfterWaits * (2 ** known.times));
	const times = Math.min(maxCountedRefusals, (isExpired ? 0 : known?.times ?? 0) + 1);
	// Jitter of half the wait, so that the lease holders of all zones don't retry at the same time.
	const until = now + (firstWaitMs * (2 ** (times - 1)) * (0.75 + (random() / 2)));
	return {offer: makeOfferKey(offer), times, until};
};
