/** A deployment on paper: its engines, its client accounts, and the work they bring. */
import {z} from 'zod';

const machine = z.strictObject({
	name: z.string(),
	/** Credits an hour, reclaimable. */
	price: z.number().positive(),
	stepMs: z.number().positive(),
	sequenceMs: z.number().nonnegative(),
	prefillTokenMs: z.number().nonnegative(),
	prefillChunkTokens: z.int().positive(),
	mostRunning: z.int().positive(),
	cacheTokens: z.int().positive(),
	loadLagMs: z.number().nonnegative(),
});

const engineGroup = z.strictObject({machine: z.string(), availabilityZone: z.string(), count: z.int().positive()});

const latencyClass = z.strictObject({
	name: z.string(),
	rank: z.int().nonnegative(),
	firstTokenMs: z.number().positive().optional(),
	betweenTokensMs: z.number().positive().optional(),
	/** The whole answer is late after this. */
	wholeWithinMs: z.number().positive(),
});

const work = z.strictObject({
	class: z.string(),
	/** Part of all chat requests. */
	part: z.number().positive(),
	/** Texts of each account that are read again and again; 0 for questions that share only the instructions. */
	documents: z.int().nonnegative(),
	documentTokens: z.tuple([z.int(), z.int()]),
	/** Exponent of Zipf's law over the documents; 0 for all alike. */
	popularity: z.number().nonnegative(),
	/** Tokens of the instructions that all requests of the work begin with. */
	instructionTokens: z.int().nonnegative(),
	questionTokens: z.tuple([z.int(), z.int()]),
	answerTokens: z.tuple([z.int(), z.int()]),
});

export const deploymentSchema = z.strictObject({
	name: z.string(),
	daemons: z.int().positive(),
	/** Part of document tokens that is taken to be cached when the load is worked out. */
	assumedReuse: z.number().min(0).max(1),
	/** Plain calls a second at a load of 1, their servers, and how long each holds its server. */
	plain: z.strictObject({
		service: z.string(), servers: z.int().positive(), perSecond: z.number().positive(), callMs: z.number().positive(),
	}),
	machine: z.array(machine).min(1),
	engine: z.array(engineGroup).min(1),
	class: z.array(latencyClass).min(1),
	account: z.array(z.strictObject({name: z.string(), share: z.number().positive(), part: z.number().positive()})).min(1),
	work: z.array(work).min(1),
});

export type Deployment = z.output<typeof deploymentSchema>;
export type Machine = Deployment['machine'][number];
export type Work = Deployment['work'][number];
export type ClassTarget = Deployment['class'][number];

export type PlacedEngine = {readonly id: string; readonly availabilityZone: string; readonly machine: Machine};

export const listEngines = (deployment: Deployment): PlacedEngine[] => deployment.engine.flatMap(group => {
	const found = deployment.machine.find(item => item.name === group.machine);
	if (found === undefined) {
		throw new Error(`engine: machine ${group.machine} is not described; described are ${deployment.machine.map(item => item.name).join(', ')}`);
	}

	return Array.from({length: group.count}, (_value, index) => ({
		id: `${group.availabilityZone}-${group.machine}-${index}`, availabilityZone: group.availabilityZone, machine: found,
	}));
});

const getMean = ([low, high]: readonly [number, number]): number => (low + high) / 2;

type MeanRequest = {readonly readTokens: number; readonly answerTokens: number};

/** What one chat request is on the mean, with the assumed part of its document cached. */
const computeMeanRequest = ({work: items, assumedReuse}: Deployment): MeanRequest => {
	let parts = 0;
	let readTokens = 0;
	let answerTokens = 0;
	for (const item of items) {
		const documentTokens = item.documents > 0 ? getMean(item.documentTokens) : 0;
		parts += item.part;
		readTokens += item.part * ((documentTokens * (1 - assumedReuse)) + getMean(item.questionTokens));
		answerTokens += item.part * getMean(item.answerTokens);
	}

	return {readTokens: readTokens / parts, answerTokens: answerTokens / parts};
};

type BestBatch = {readonly perSecond: number; readonly running: number};

/**
 * Requests a second that one engine carries while its tokens keep their interval.
 * With n sequences a step takes s(n); the part of the time left for reading is
 * 1 - s(n) / interval, and n tokens come in each interval. The best n counts.
 */
const findBestBatch = ({stepMs, sequenceMs, prefillTokenMs, mostRunning}: Machine, {readTokens, answerTokens}: MeanRequest, intervalMs: number): BestBatch => {
	let best: BestBatch = {perSecond: 0, running: 1};
	for (let running = 1; running <= mostRunning; running++) {
		const readingPart = 1 - ((stepMs + (running * sequenceMs)) / intervalMs);
		const byReading = readingPart * 1000 / (readTokens * prefillTokenMs);
		const byAnswering = running * 1000 / intervalMs / answerTokens;
		const perSecond = Math.min(byReading, byAnswering);
		best = perSecond > best.perSecond ? {perSecond, running} : best;
	}

	return best;
};

const getStrictestInterval = (deployment: Deployment): number =>
	Math.min(...deployment.class.map(item => item.betweenTokensMs ?? Number.POSITIVE_INFINITY));

/** Answers that a machine runs at once when it carries most within the strictest interval: what operators would put down as its places. */
export const computePlaces = (deployment: Deployment, machine: Machine): number =>
	findBestBatch(machine, computeMeanRequest(deployment), getStrictestInterval(deployment)).running;

/** Chat requests a second that the engines carry together within the strictest interval between tokens: a load of 1. */
export const computeCapacity = (deployment: Deployment): number => {
	const request = computeMeanRequest(deployment);
	const intervalMs = getStrictestInterval(deployment);
	let capacity = 0;
	for (const {machine: engine} of listEngines(deployment)) {
		capacity += findBestBatch(engine, request, intervalMs).perSecond;
	}

	return capacity;
};
