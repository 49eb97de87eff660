/** The calls of one play, from a seed: the same ones for every policy. */
import {type PromptPart} from '@shallotpass/core/calls/types.js';
import {hashText64} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {blockCharacters, estimateTokens} from '@shallotpass/core/routing/hash-prompt.js';
import {type Customer, type Kind} from './customer.js';

export type PlayedCall = {
	readonly id: string;
	readonly at: number;
	readonly kind: Kind;
	readonly promptParts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Hashes of the prompt's blocks, for the engine's cache. */
	readonly chain: readonly bigint[];
};

type Random = () => number;

const blockTokens = estimateTokens(blockCharacters);

/** A normal number by the sum of uniform ones. */
const drawNormal = (random: Random): number => {
	let sum = -6;
	for (let index = 0; index < 12; index++) {
		sum += random();
	}

	return sum;
};

/** Around a mean, with the given spread of the logarithm. */
const drawSpread = (random: Random, mean: number, spread: number): number =>
	mean * Math.exp((spread * drawNormal(random)) - (spread * spread / 2));

const makeChain = (parts: readonly PromptPart[]): bigint[] => parts.flatMap(({id, tokens}) =>
	Array.from({length: Math.floor(tokens / blockTokens)}, (_block, index) => hashText64(`${id}/${index}`)));

const makeSharedParts = ({name, shared}: Kind, random: Random): PromptPart[] => shared.map(({things, tokens}, index) => {
	// The root of a uniform number makes the first things the most frequent ones.
	const thing = Math.floor(things * (random() ** 1.3));
	return {id: `${name}-${index}-${thing}`, tokens};
});

const makeCall = (kind: Kind, at: number, id: string, random: Random): PlayedCall => {
	const shared = makeSharedParts(kind, random);
	const own = {id, tokens: Math.max(16, Math.round(drawSpread(random, kind.ownTokens, kind.ownSpread)))};
	const promptParts = [...shared, own];
	return {
		id,
		at,
		kind,
		promptParts,
		promptTokens: promptParts.reduce((sum, {tokens}) => sum + tokens, 0),
		answerTokens: Math.max(1, Math.round(drawSpread(random, kind.answerTokens, 0.5))),
		chain: makeChain(shared),
	};
};

/** Calls of all kinds in the order of time; they come in clumps. */
export const makeCalls = (customer: Customer, random: Random): PlayedCall[] => {
	const calls: PlayedCall[] = [];
	for (const kind of customer.kinds) {
		const clumpsPerSecond = kind.perSecond / customer.clump;
		for (let at = 0, index = 0; ;) {
			at -= Math.log(1 - random()) * 1000 / clumpsPerSecond;
			if (at >= customer.lengthMs) {
				break;
			}

			for (let left = customer.clump; left > 0; left--) {
				if (random() < left) {
					calls.push(makeCall(kind, at, `${kind.name}#${index++}`, random));
				}
			}
		}
	}

	return calls.toSorted((left, right) => left.at - right.at);
};
