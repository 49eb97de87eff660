/** Generates the calls of a simulation from a seed, so that every policy set receives the same calls. */
import {type PromptPart} from '@shallotpass/core/calls/types.js';
import {hashText64} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {blockCharacters, estimateTokens} from '@shallotpass/core/routing/hash-prompt.js';
import {type Customer, type CallKind} from './customer.js';

export type SimulatedCall = {
	readonly id: string;
	/** Arrival time, in milliseconds. */
	readonly at: number;
	readonly kind: CallKind;
	readonly promptParts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Hashes of the blocks in the shared part of the prompt, by which the engine finds cached blocks. */
	readonly blockHashes: readonly bigint[];
};

type Random = () => number;

const blockTokens = estimateTokens(blockCharacters);

/** Approximates a standard normal variate by the sum of twelve uniform ones. */
const drawNormal = (random: Random): number => {
	let sum = -6;
	for (let index = 0; index < 12; index++) {
		sum += random();
	}

	return sum;
};

/** Draws from a log-normal distribution. `spread` is the standard deviation of the logarithm. */
const drawLogNormal = (random: Random, mean: number, spread: number): number =>
	mean * Math.exp((spread * drawNormal(random)) - (spread * spread / 2));

const hashBlocks = (parts: readonly PromptPart[]): bigint[] => parts.flatMap(({id, tokens}) =>
	Array.from({length: Math.floor(tokens / blockTokens)}, (_block, index) => hashText64(`${id}/${index}`)));

const drawSharedParts = ({name, shared}: CallKind, random: Random): PromptPart[] => shared.map(({things, tokens}, index) => {
	// An exponent above 1 makes the first parts the most frequent ones.
	const partIndex = Math.floor(things * (random() ** 1.3));
	return {id: `${name}-${index}-${partIndex}`, tokens};
});

const makeCall = (kind: CallKind, at: number, id: string, random: Random): SimulatedCall => {
	const shared = drawSharedParts(kind, random);
	const ownPart = {id, tokens: Math.max(16, Math.round(drawLogNormal(random, kind.ownTokens, kind.ownSpread)))};
	const promptParts = [...shared, ownPart];
	return {
		id,
		at,
		kind,
		promptParts,
		promptTokens: promptParts.reduce((sum, {tokens}) => sum + tokens, 0),
		answerTokens: Math.max(1, Math.round(drawLogNormal(random, kind.answerTokens, 0.5))),
		blockHashes: hashBlocks(shared),
	};
};

/** Returns the calls of all kinds, ordered by time. The calls of a kind arrive in bursts at random times. */
export const makeCalls = (customer: Customer, random: Random): SimulatedCall[] => {
	const calls: SimulatedCall[] = [];
	for (const kind of customer.kinds) {
		const burstsPerSecond = kind.perSecond / customer.clump;
		for (let at = 0, index = 0; ;) {
			at -= Math.log(1 - random()) * 1000 / burstsPerSecond;
			if (at >= customer.lengthMs) {
				break;
			}

			for (let remaining = customer.clump; remaining > 0; remaining--) {
				if (random() < remaining) {
					calls.push(makeCall(kind, at, `${kind.name}#${index++}`, random));
				}
			}
		}
	}

	return calls.toSorted((left, right) => left.at - right.at);
};
