/**
 * Finds the parts and requests that are kept from backend servers. Many requests are on a backend server that crashes, and only one of
 * them is the cause: a death that a convicted part explains does not count against the others.
 */
import {convictingScore, weighEvidence, type Weighing} from './weigh-evidence.js';
import {type CrashDeath, type CrashEvidence, type CrashVerdict} from './types.js';

export type EvidenceByKey = ReadonlyMap<string, CrashEvidence>;

export type KnownEvidence = {
	readonly parts: EvidenceByKey;
	readonly requests: EvidenceByKey;
	/** Incarnations of backend servers that were taken for dead, and the latest true time at which they were not. */
	readonly refuted: ReadonlyMap<number, number>;
};

type Weighed = Weighing & {readonly key: string};

const countBegun = (deaths: readonly CrashDeath[]): number => deaths.filter(({hasBegun}) => hasBegun).length;

/** Orders what may be the cause: what deaths speak against most, then what was on most of them with an answer begun. */
const compareWeighed = (left: Weighed, right: Weighed): number =>
	(right.excess - left.excess) || (countBegun(right.deaths) - countBegun(left.deaths)) || (left.key < right.key ? -1 : 1);

const findWorst = (weighed: readonly Weighed[]): Weighed | undefined => {
	let worst: Weighed | undefined;
	for (const candidate of weighed) {
		if (candidate.isConvicted && (worst === undefined || compareWeighed(candidate, worst) < 0)) {
			worst = candidate;
		}
	}

	return worst;
};

const hasSameDeaths = (left: Weighed, right: Weighed): boolean =>
	left.excess === right.excess && left.deaths.length === right.deaths.length && left.deaths.every(({incarnation}, index) => right.deaths[index]!.incarnation === incarnation);

/** Returns the account if all deaths are from its requests. Others are not convicted by what one account says of its prompts. */
const findOnlyAccount = (deaths: readonly CrashDeath[]): number | undefined => {
	const accounts = new Set(deaths.map(({account}) => account));
	return accounts.size === 1 ? deaths[0]!.account : undefined;
};

const toVerdict = (kind: CrashVerdict['kind'], first: Weighed, others: readonly Weighed[]): CrashVerdict => ({
	kind, keys: [first, ...others].map(({key}) => key), account: findOnlyAccount(first.deaths), deaths: first.deaths, score: first.score,
});

const isExplainedBy = ({deaths}: Weighed, explaining: readonly CrashDeath[]): boolean =>
	deaths.some(({incarnation}) => explaining.some(death => death.incarnation === incarnation));

/** Finds the verdicts of one kind, the worst first. Deaths that they explain are added to `explained`. */
const findVerdictsOfKind = (kind: CrashVerdict['kind'], evidence: EvidenceByKey, {refuted, explained}: {readonly refuted: KnownEvidence['refuted']; readonly explained: Set<number>}): CrashVerdict[] => {
	const isCounted = ({incarnation, at}: CrashDeath): boolean => (refuted.get(incarnation) ?? Number.NEGATIVE_INFINITY) < at && !explained.has(incarnation);
	const weigh = (key: string): Weighed => ({key, ...weighEvidence(evidence.get(key)!, {kind, isCounted})});
	const verdicts: CrashVerdict[] = [];
	let weighed = [...evidence].filter(([, {deaths}]) => deaths.size >= convictingScore[kind]).map(([key]) => weigh(key));
	for (;;) {
		const worst = findWorst(weighed);
		if (worst === undefined) {
			return verdicts;
		}

		const beside = kind === 'part' ? weighed.filter(other => other !== worst && other.isConvicted && hasSameDeaths(worst, other)) : [];
		const verdict = toVerdict(kind, worst, beside);
		verdicts.push(verdict);
		for (const {incarnation} of verdict.deaths) {
			explained.add(incarnation);
		}

		weighed = weighed.filter(({key}) => !verdict.keys.includes(key)).map(other => isExplainedBy(other, verdict.deaths) ? weigh(other.key) : other);
	}
};

export const findVerdicts = ({parts, requests, refuted}: KnownEvidence): CrashVerdict[] => {
	const known = {refuted, explained: new Set<number>()};
	return [...findVerdictsOfKind('part', parts, known), ...findVerdictsOfKind('request', requests, known)];
};
