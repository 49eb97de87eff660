/** Hash chains over prompt blocks: two prompts share a prefix exactly as far as their chains agree. */
import {hashTextWide} from './rank-by-rendezvous.js';

/** Characters of one block; about 64 tokens of ordinary text. */
export const blockCharacters = 256;

/** Rough number of tokens in a text, where the engine has not counted them. */
export const estimateTokens = (characters: number): number => Math.ceil(characters / 4);

/** Blocks beyond this add cost and hardly change a choice. */
const mostBlocks = 512;

export const hashPrompt = (prompt: string): bigint[] => {
	const chain: bigint[] = [];
	let previous = 0n;
	const end = Math.min(prompt.length - blockCharacters, (mostBlocks - 1) * blockCharacters);
	for (let start = 0; start <= end; start += blockCharacters) {
		previous = hashTextWide(prompt.slice(start, start + blockCharacters), previous);
		chain.push(previous);
	}

	return chain;
};
