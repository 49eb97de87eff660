/** Generates the requests of one run from a seed, so that every policy is measured on the same requests. */
import {blockCharacters, estimateTokens, hashPrompt} from '@shallotpass/core/routing/hash-prompt.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {computeCapacity, type Deployment, type Workload} from './deployment.js';

export type ChatArrival = {
	readonly kind: 'chat';
	readonly id: string;
	readonly at: number;
	readonly account: string;
	readonly class: string;
	readonly promptTokens: number;
	/** Hashes of the prompt's blocks. */
	readonly chain: readonly bigint[];
	readonly answerTokens: number;
};

export type PlainArrival = {readonly kind: 'plain'; readonly id: string; readonly at: number; readonly account: string};

export type Arrival = ChatArrival | PlainArrival;

const charactersPerToken = blockCharacters / estimateTokens(blockCharacters);

/** Makes a text of about the given number of tokens. Different names give different texts. */
const makeText = (name: string, tokens: number): string => {
	const characters = Math.round(tokens * charactersPerToken);
	return `${name} `.repeat(Math.ceil(characters / (name.length + 1))).slice(0, characters);
};

type Random = () => number;

const pickBetween = (random: Random, [low, high]: readonly [number, number]): number => Math.round(low + (random() * (high - low)));

const pickWeighted = <Item>(random: Random, items: readonly Item[], getWeight: (item: Item, index: number) => number): Item => {
	let remaining = random() * items.reduce((sum, item, index) => sum + getWeight(item, index), 0);
	for (const [index, item] of items.entries()) {
		remaining -= getWeight(item, index);
		if (remaining <= 0) {
			return item;
		}
	}

	return items.at(-1)!;
};

/** Makes the documents of each account and workload once, because making them again for every request would take longer than the run. */
const makeDocuments = (deployment: Deployment, random: Random): ReadonlyMap<string, readonly string[]> => new Map(deployment.account.flatMap(account =>
	deployment.work.map(workload => [
		`${account.name}/${workload.class}`,
		Array.from({length: workload.documents}, (_value, index) => makeText(`${account.name}-${workload.class}-${index}`, pickBetween(random, workload.documentTokens))),
	] as const)));

const makePrompt = (random: Random, id: string, workload: Workload, documents: readonly string[]): string => {
	const ranked = documents.map((text, index) => ({text, weight: 1 / ((index + 1) ** workload.popularity)}));
	const text = ranked.length === 0 ? '' : pickWeighted(random, ranked, document => document.weight).text;
	return `${makeText(`instructions-${workload.class}`, workload.instructionTokens)}${text}${makeText(id, pickBetween(random, workload.questionTokens))}`;
};

/** Generates the arrival times of a Poisson process. */
const generateArrivalTimes = (random: Random, perSecond: number, untilMs: number): number[] => {
	const times: number[] = [];
	for (let at = 0; ;) {
		at -= Math.log(1 - random()) * 1000 / perSecond;
		if (at >= untilMs) {
			return times;
		}

		times.push(at);
	}
};

type RequestOptions = {
	readonly deployment: Deployment;
	/** Load as a multiple of `computeCapacity`. At 1, all engines together run full batches. */
	readonly load: number;
	readonly untilMs: number;
	readonly seed: number;
};

export const makeRequests = ({deployment, load, untilMs, seed}: RequestOptions): Arrival[] => {
	const random = makeRandom(seed);
	const documents = makeDocuments(deployment, random);
	const chatArrivals = generateArrivalTimes(random, computeCapacity(deployment) * load, untilMs).map((at, index): ChatArrival => {
		const account = pickWeighted(random, deployment.account, ({part}) => part);
		const workload = pickWeighted(random, deployment.work, ({part}) => part);
		const id = `chat-${index}`;
		const prompt = makePrompt(random, id, workload, documents.get(`${account.name}/${workload.class}`)!);
		return {
			kind: 'chat',
			id,
			at,
			account: account.name,
			class: workload.class,
			promptTokens: estimateTokens(prompt.length),
			chain: hashPrompt(prompt),
			answerTokens: pickBetween(random, workload.answerTokens),
		};
	});
	const plainArrivals = generateArrivalTimes(random, deployment.plain.perSecond * load, untilMs).map((at, index): PlainArrival => ({
		kind: 'plain', id: `plain-${index}`, at, account: pickWeighted(random, deployment.account, ({part}) => part).name,
	}));
	return [...chatArrivals, ...plainArrivals].toSorted((left, right) => left.at - right.at);
};
