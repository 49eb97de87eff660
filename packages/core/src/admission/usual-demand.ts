/**
 * What client accounts usually ask for. An account that suddenly asks for many times as much fills the engines for all, so its
 * calls beyond twice the usual yield where engines are short. Those within it are served like calls of others.
 */

export type UsualDemand = {
	/** Cost units per second that the account usually asks for, and those it asks for now. */
	readonly usual: number;
	readonly current: number;
	/** When it was first and last observed, on the steady clock. */
	readonly since: number;
	readonly at: number;
};

/** Time for which an account is observed before its demand can be unusual. Rates that are reported rise over some seconds. */
const learningMs = 20_000;

/** Time constant with which the usual demand follows. A burst lasts seconds; a rise that lasts becomes usual within minutes. */
const timeConstantMs = 60_000;

/** Multiple of the usual demand up to which a rise is ordinary variation. */
const toleratedFactor = 2;

/** Share of the demand of all accounts below which an account makes no difference to others. */
const minDemandShare = 0.05;

/** Updates the usual demand of an account with its present demand, in cost units per second. */
export const observeDemand = (known: UsualDemand | undefined, current: number, now: number): UsualDemand => {
	if (known === undefined) {
		return {
			usual: current, current, since: now, at: now,
		};
	}

	if (now < known.since + learningMs) {
		return {
			...known, usual: Math.max(known.usual, current), current, at: now,
		};
	}

	// A burst counts as twice the usual at most: otherwise it would soon pass for usual.
	const counted = Math.min(current, known.usual * toleratedFactor);
	const usual = known.usual + ((counted - known.usual) * (1 - Math.exp(-Math.max(0, now - known.at) / timeConstantMs)));
	return {
		...known, usual, current, at: now,
	};
};

/**
 * Computes the share of an account's calls that is beyond its usual demand, from 0 to 1. A rise that all accounts share is no
 * account's excess: it may be a burst of all, or reports of other daemons that are heard again.
 */
export const computeExcessShare = (account: UsualDemand, all: Iterable<UsualDemand>): number => {
	// Most accounts are within their usual demand, for which the others need not be summed.
	if (account.current <= account.usual * toleratedFactor) {
		return 0;
	}

	let otherUsual = 0;
	let otherCurrent = 0;
	for (const {usual, current} of all) {
		otherUsual += usual;
		otherCurrent += current;
	}

	otherUsual -= account.usual;
	otherCurrent -= account.current;
	const sharedRise = otherUsual > 0 ? Math.max(1, otherCurrent / otherUsual) : 1;
	const tolerated = account.usual * toleratedFactor * sharedRise;
	const isSmall = account.current < (otherCurrent + account.current) * minDemandShare;
	return isSmall || account.current <= tolerated ? 0 : 1 - (tolerated / account.current);
};
