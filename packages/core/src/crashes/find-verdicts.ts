/**
 * Finds the parts and requests that are kept from backend servers. Many requests are on a backend server that crashes, and only one of
 * them is the cause: a death that a convicted part explains does not count against the others.
 */
import {weighEvidence, type Weighing} from './weigh-evidence.js';
import {type CrashDeath, type CrashEvidence, type CrashVerdict} from './types.js';

export type EvidenceByKey = ReadonlyMap<string, CrashEvidence>;

export type KnownEvidence = {
	readonly parts: EvidenceByKey;
	readonly requests: EvidenceByKey;
	/** Incarnations of backend servers that were taken for dead and are not. */
	readonly refuted: ReadonlyMap<number, number>;
};

type Weighed = Weighing & {readonly key: string};

const countBegun = (deaths: readonly CrashDeath[]): number => deaths.filter(({hasBegun}) => hasBegun).length;

/** Orders what may be the cause: what deaths speak against most, then what was on most of them with an answer begun. */
const compareWeighed = (left: Weighed, right: Weighed): number =>
	(right.excess - left.excess) || (countBegun(right.deaths) - countBegun(left.deaths)) || (left.key < right.key ? -1 : 1);

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

const weighAll = (evidence: EvidenceByKey, kind: CrashVerdict['kind'], isCounted: (incarnation: number) => boolean): Weighed[] =>
	[...evidence].map(([key, known]) => ({key, ...weighEvidence(known, {kind, isCounted})})).filter(({isConvicted}) => isConvicted).toSorted(compareWeighed);

export const findVerdicts = ({parts, requests, refuted}: KnownEvidence): CrashVerdict[] => {
	const explained = new Set<number>();
	const isCounted = (incarnation: number): boolean => !refuted.has(incarnation) && !explained.has(incarnation);
	const verdicts: CrashVerdict[] = [];
	const explain = ({deaths}: CrashVerdict): void => {
		for (const {incarnation} of deaths) {
			explained.add(incarnation);
		}
	};

	for (const kind of ['part', 'request'] as const) {
		const evidence = kind === 'part' ? parts : requests;
		for (;;) {
			const [worst, ...others] = weighAll(evidence, kind, isCounted);
			if (worst === undefined) {
				break;
			}

			const verdict = toVerdict(kind, worst, kind === 'part' ? others.filter(other => hasSameDeaths(worst, other)) : []);
			verdicts.push(verdict);
			explain(verdict);
		}
	}

	return verdicts;
};
