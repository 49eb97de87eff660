/** Schema of a simulated deployment: engines, client accounts and workloads. Also computes the capacity of its engines. */
import {z} from 'zod';

const machine = z.strictObject({
	name: z.string(),
	/** Credits per hour for a reclaimable instance. */
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
	/** Maximum time from arrival to the end of the answer. */
	wholeWithinMs: z.number().positive(),
});

const work = z.strictObject({
	class: z.string(),
	/** Relative share of all chat requests. */
	part: z.number().positive(),
	/** Number of documents per account that recur in prompts; 0 if the prompts share only the instructions. */
	documents: z.int().nonnegative(),
	documentTokens: z.tuple([z.int(), z.int()]),
	/** Zipf exponent of the documents' popularity; 0 is a uniform distribution. */
	popularity: z.number().nonnegative(),
	/** Length of the instructions that all prompts of this workload start with. */
	instructionTokens: z.int().nonnegative(),
	questionTokens: z.tuple([z.int(), z.int()]),
	answerTokens: z.tuple([z.int(), z.int()]),
});

export const deploymentSchema = z.strictObject({
	name: z.string(),
	daemons: z.int().positive(),
	/** Share of document tokens assumed to be cached when the capacity is computed. */
	assumedReuse: z.number().min(0).max(1),
	/** Plain service: calls per second at a load of 1, number of servers, and service time of one call. */
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
export type Workload = Deployment['work'][number];
export type LatencyClass = Deployment['class'][number];

export type PlacedEngine = {readonly id: string; readonly availabilityZone: string; readonly machine: Machine};

export const listEngines = (deployment: Deployment): PlacedEngine[] => deployment.engine.flatMap(group => {
	const found = deployment.machine.find(item => item.name === group.machine);
	if (found === undefined) {
		throw new Error(`engine: machine "${group.machine}" is not defined; defined machines: ${deployment.machine.map(item => item.name).join(', ')}`);
	}

	return Array.from({length: group.count}, (_value, index) => ({
		id: `${group.availabilityZone}-${group.machine}-${index}`, availabilityZone: group.availabilityZone, machine: found,
	}));
});

const getMean = ([low, high]: readonly [number, number]): number => (low + high) / 2;

type MeanRequest = {readonly prefillTokens: number; readonly answerTokens: number};

/** Computes the mean size of a chat request, counting only the uncached part of its document. */
const computeMeanRequest = ({work: items, assumedReuse}: Deployment): MeanRequest => {
	let partSum = 0;
	let prefillTokens = 0;
	let answerTokens = 0;
	for (const item of items) {
		const documentTokens = item.documents > 0 ? getMean(item.documentTokens) : 0;
		partSum += item.part;
		prefillTokens += item.part * ((documentTokens * (1 - assumedReuse)) + getMean(item.questionTokens));
		answerTokens += item.part * getMean(item.answerTokens);
	}

	return {prefillTokens: prefillTokens / partSum, answerTokens: answerTokens / partSum};
};

type BatchCapacity = {readonly perSecond: number; readonly running: number};

/**
 * Finds the batch size at which an engine serves most requests per second without exceeding the interval between tokens.
 * A step with n sequences takes s(n). The share of time left for prefill is 1 - s(n) / interval,
 * and n tokens are decoded per interval.
 */
const findBestBatch = ({stepMs, sequenceMs, prefillTokenMs, mostRunning}: Machine, {prefillTokens, answerTokens}: MeanRequest, intervalMs: number): BatchCapacity => {
	let best: BatchCapacity = {perSecond: 0, running: 1};
	for (let running = 1; running <= mostRunning; running++) {
		const prefillShare = 1 - ((stepMs + (running * sequenceMs)) / intervalMs);
		const prefillPerSecond = prefillShare * 1000 / (prefillTokens * prefillTokenMs);
		const decodePerSecond = running * 1000 / intervalMs / answerTokens;
		const perSecond = Math.min(prefillPerSecond, decodePerSecond);
		best = perSecond > best.perSecond ? {perSecond, running} : best;
	}

	return best;
};

const getStrictestIntervalMs = (deployment: Deployment): number =>
	Math.min(...deployment.class.map(item => item.betweenTokensMs ?? Number.POSITIVE_INFINITY));

/** Returns the number of concurrent answers at which a machine serves most requests within the strictest token interval, as operators would configure it. */
export const computeSlots = (deployment: Deployment, machine: Machine): number =>
	findBestBatch(machine, computeMeanRequest(deployment), getStrictestIntervalMs(deployment)).running;

/** Returns the chat requests per second that all engines together serve within the strictest token interval. This is a load of 1. */
export const computeCapacity = (deployment: Deployment): number => {
	const request = computeMeanRequest(deployment);
	const intervalMs = getStrictestIntervalMs(deployment);
	let capacity = 0;
	for (const {machine: engine} of listEngines(deployment)) {
		capacity += findBestBatch(engine, request, intervalMs).perSecond;
	}

	return capacity;
};
