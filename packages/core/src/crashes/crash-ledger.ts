/**
 * The evidence that one daemon knows about requests that may crash backend servers, its own and that of the others. The ledger is
 * changed in place, as it holds an entry for each part of the prompts that are served; its entries are immutable.
 */
import {
	countSurvivals, emptyEvidence, hasSameEvidence, mergeEvidence, type Survival, withDeath, withSurvival,
} from './crash-evidence.js';
import {findVerdicts} from './find-verdicts.js';
import {
	type CrashDeath, type CrashEvidence, type CrashVerdict, type EvidenceKind,
} from './types.js';

/** Most parts or requests without deaths, and with some. Those that are convicted are never evicted. */
const maxSound = 4096;
const maxSuspected = 256;

/** Most parts of a prompt that are looked at; a longer list does not fit into a head of usual size. */
const maxParts = 256;

/** Time for which deaths are remembered, without and with a verdict. */
const suspicionMs = 3_600_000;
const verdictMs = 12 * 3_600_000;

/** Time for which a refutation is kept. Reports of the death have arrived by then. */
const refutationMs = 60_000;

type Entry = {
	readonly evidence: CrashEvidence;
	/** When the deaths last changed here, on the steady clock. */
	readonly changedAt: number;
};

type Entries = {
	/** Without deaths, the ones used last at the end. */
	readonly sound: Map<string, CrashEvidence>;
	readonly suspected: Map<string, Entry>;
};

export type CrashLedger = {
	readonly part: Entries;
	readonly request: Entries;
	/** Incarnations that were taken for dead, and the latest true time at which they were not. */
	readonly refuted: Map<number, number>;
	/** When a refutation was last added, on the steady clock. */
	refutedAt: number;
	/** Parts and digests of requests that an operator has cleared. */
	cleared: ReadonlySet<string>;
	/** Undefined while they have to be found again: after each change of deaths, and at times for survivals, which come with most calls. */
	verdicts: readonly CrashVerdict[] | undefined;
};

const makeEntries = (): Entries => ({sound: new Map(), suspected: new Map()});

export const makeCrashLedger = (): CrashLedger => ({
	part: makeEntries(), request: makeEntries(), refuted: new Map(), refutedAt: Number.NEGATIVE_INFINITY, cleared: new Set(), verdicts: undefined,
});

/** What identifies a request: the digest of the whole, and the ids of the parts of its prompt. */
export type RequestTraits = {
	readonly digest: string;
	readonly account: number;
	readonly partIds: readonly string[];
};

/** Lists the parts that a request may share with others: all but the last, which is its own. */
export const listSharedParts = (partIds: readonly string[]): readonly string[] => partIds.slice(0, -1).slice(0, maxParts);

const listKeys = ({digest, partIds}: RequestTraits): Array<readonly [EvidenceKind, string]> => [
	...[...new Set(listSharedParts(partIds))].map(id => ['part', id] as const),
	['request', digest],
];

export const getEvidence = (ledger: CrashLedger, kind: EvidenceKind, key: string): CrashEvidence | undefined =>
	ledger[kind].suspected.get(key)?.evidence ?? ledger[kind].sound.get(key);

const trimSuspected = (ledger: CrashLedger, {suspected}: Entries): void => {
	if (suspected.size <= maxSuspected) {
		return;
	}

	const convicted = new Set(listVerdicts(ledger).flatMap(({keys}) => keys));
	for (const key of suspected.keys()) {
		if (!convicted.has(key)) {
			suspected.delete(key);
			return;
		}
	}
};

const setEvidence = (ledger: CrashLedger, {kind, key, now}: {readonly kind: EvidenceKind; readonly key: string; readonly now: number}, evidence: CrashEvidence): void => {
	const entries = ledger[kind];
	if (evidence.deaths.size > 0) {
		const known = entries.suspected.get(key);
		entries.sound.delete(key);
		const hasSameDeaths = known?.evidence.deaths === evidence.deaths;
		entries.suspected.set(key, {evidence, changedAt: hasSameDeaths ? known.changedAt : now});
		if (!hasSameDeaths) {
			ledger.verdicts = undefined;
			trimSuspected(ledger, entries);
		}

		return;
	}

	entries.sound.delete(key);

	entries.sound.set(key, evidence);
	if (entries.sound.size > maxSound) {
		const [oldest] = entries.sound.keys();
		entries.sound.delete(oldest!);
	}
};

export type DeathRecord = Omit<CrashDeath, 'account'>;

/** Records against the request and its parts that a backend server ended. `now` is on the steady clock. */
export const recordDeath = (ledger: CrashLedger, traits: RequestTraits, death: DeathRecord, now: number): void => {
	for (const [kind, key] of listKeys(traits)) {
		setEvidence(ledger, {kind, key, now}, withDeath(getEvidence(ledger, kind, key) ?? emptyEvidence, {...death, account: traits.account}));
	}
};

/** Records for the parts, and for a suspected request, that an answer began and its backend server survived it. */
export const recordSurvival = (ledger: CrashLedger, traits: RequestTraits, survival: Survival, now: number): void => {
	for (const [kind, key] of listKeys(traits)) {
		// Most requests never come again.
		if (kind === 'request' && !ledger.request.suspected.has(key)) {
			continue;
		}

		setEvidence(ledger, {kind, key, now}, withSurvival(getEvidence(ledger, kind, key) ?? emptyEvidence, survival));
	}
};

/** Adopts evidence of another daemon. Returns whether it was new. */
export const adoptEvidence = (ledger: CrashLedger, {kind, key, evidence}: {readonly kind: EvidenceKind; readonly key: string; readonly evidence: CrashEvidence}, now: number): boolean => {
	const known = getEvidence(ledger, kind, key) ?? emptyEvidence;
	const merged = mergeEvidence(known, evidence);
	if (hasSameEvidence(known, merged)) {
		return false;
	}

	setEvidence(ledger, {kind, key, now}, merged);
	return true;
};

/** Records that an incarnation was alive at a true time, so that an earlier death counts against nobody. Returns whether that was new. */
export const refuteDeath = (ledger: CrashLedger, incarnation: number, at: number, now: number): boolean => {
	if ((ledger.refuted.get(incarnation) ?? Number.NEGATIVE_INFINITY) >= at) {
		return false;
	}

	ledger.refuted.set(incarnation, at);
	ledger.refutedAt = now;
	ledger.verdicts = undefined;
	return true;
};

const toEvidenceByKey = ({suspected}: Entries): Map<string, CrashEvidence> => new Map([...suspected].map(([key, {evidence}]) => [key, evidence]));

export const listVerdicts = (ledger: CrashLedger): readonly CrashVerdict[] => {
	ledger.verdicts ??= findVerdicts({parts: toEvidenceByKey(ledger.part), requests: toEvidenceByKey(ledger.request), refuted: ledger.refuted})
		.filter(({keys}) => !keys.some(key => ledger.cleared.has(key)));
	return ledger.verdicts;
};

const isMeantBy = ({kind, keys, account}: CrashVerdict, {digest, account: ownAccount, partIds}: RequestTraits): boolean => {
	if (kind === 'request') {
		return keys[0] === digest;
	}

	return (account === undefined || account === ownAccount) && keys.every(key => listSharedParts(partIds).includes(key));
};

/** Returns the verdict for which the request is kept from backend servers. */
export const findVerdict = (ledger: CrashLedger, traits: RequestTraits): CrashVerdict | undefined => listVerdicts(ledger).find(verdict => isMeantBy(verdict, traits));

/** Survivals after which a part counts as sound. */
const provingSurvivals = 4;

/** Whether one of the request's parts may still be what crashes backend servers. */
export const isUnproven = (ledger: CrashLedger, {partIds}: RequestTraits): boolean => listSharedParts(partIds).some(id => {
	const evidence = getEvidence(ledger, 'part', id);
	return evidence === undefined || countSurvivals(evidence) < provingSurvivals;
});

const isExpired = ({deaths}: CrashEvidence, before: number): boolean => [...deaths.values()].every(({at}) => at < before);

/** Forgets deaths that are too old to say anything, and lets verdicts be found again. `trueTime` is the current true time. */
export const removeOldEvidence = (ledger: CrashLedger, trueTime: number): void => {
	ledger.verdicts = undefined;
	const convicted = new Set(listVerdicts(ledger).flatMap(({keys}) => keys));
	let hasRemoved = false;
	const before = {suspicion: trueTime - suspicionMs, verdict: trueTime - verdictMs};
	for (const {suspected} of [ledger.part, ledger.request]) {
		for (const [key, {evidence}] of suspected) {
			if (isExpired(evidence, convicted.has(key) ? before.verdict : before.suspicion)) {
				suspected.delete(key);
				hasRemoved = true;
			}
		}
	}

	for (const [incarnation, at] of ledger.refuted) {
		if (at < trueTime - refutationMs && ![...listDeathsOf(ledger)].some(death => death.incarnation === incarnation)) {
			ledger.refuted.delete(incarnation);
		}
	}

	if (hasRemoved) {
		ledger.verdicts = undefined;
	}
};

/** Lists all deaths that are known. */
export function * listDeathsOf(ledger: CrashLedger): Generator<CrashDeath> {
	for (const {suspected} of [ledger.part, ledger.request]) {
		for (const {evidence} of suspected.values()) {
			yield * evidence.deaths.values();
		}
	}
}
