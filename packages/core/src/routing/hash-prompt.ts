/** Hash chains over prompt blocks. Two prompts share a prefix exactly as far as their chains are equal. */
import {hashText64} from './rank-by-rendezvous.js';

/** Characters per block, about 64 tokens of ordinary text. */
export const blockCharacters = 256;

/** Estimates the number of tokens of a text if the engine has not counted them. */
export const estimateTokens = (characters: number): number => Math.ceil(characters / 4);

/** Maximum length of a chain. Further blocks take time to hash but hardly affect the choice of a backend server. */
const maxBlocks = 512;

export const hashPrompt = (prompt: string): bigint[] => {
	const chain: bigint[] = [];
	let previous = 0n;
	const end = Math.min(prompt.length - blockCharacters, (maxBlocks - 1) * blockCharacters);
	for (let start = 0; start <= end; start += blockCharacters) {
		previous = hashText64(prompt.slice(start, start + blockCharacters), previous);
		chain.push(previous);
	}

	return chain;
};
