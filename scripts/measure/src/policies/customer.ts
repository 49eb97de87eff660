/** Schema of a customer in an experiment file: the calls, the engines and the availability zones of a simulation. */
import * as z from 'zod';

const promptPartSchema = z.strictObject({
	/** Number of different prompt parts that a call chooses from. The first ones are chosen more often. */
	things: z.int().positive(),
	/** Tokens of each of these parts. */
	tokens: z.number().positive(),
});

const callKindSchema = z.strictObject({
	name: z.string(),
	perSecond: z.number().positive(),
	/** Priority of the calls; 0 is the most urgent. */
	rank: z.int().nonnegative(),
	/** Mean number of prompt tokens that a call shares with no other call. */
	ownTokens: z.number().positive(),
	/** Standard deviation of the logarithm of that number. */
	ownSpread: z.number().nonnegative(),
	/** Parts at the start of a prompt that calls share, in their order. */
	shared: z.array(promptPartSchema),
	/** Mean number of tokens in a response. */
	answerTokens: z.number().positive(),
	/** Tokens in one event of the streamed response. */
	eventTokens: z.int().positive(),
	firstMs: z.number().positive().describe('Target for the time to the first event, in ms'),
	pauseMs: z.number().positive().describe('Longest allowed pause between events, in ms'),
	/** Whether a call that loses its engine during the response may continue on another engine. */
	isResumable: z.boolean(),
});

const zoneSchema = z.strictObject({
	name: z.string(),
	daemons: z.int().positive(),
	/** Price of an on-demand engine per second. */
	price: z.number().positive(),
});

export const customerSchema = z.strictObject({
	name: z.string(),
	kinds: z.array(callKindSchema).min(1),
	zones: z.array(zoneSchema).min(1),
	engine: z.strictObject({
		/** Fixed duration of a batch step. */
		stepMs: z.number().positive(),
		/** Additional step duration for each running call. */
		sequenceMs: z.number().nonnegative(),
		/** Prompt processing speed. */
		tokensPerMs: z.number().positive(),
		/** Maximum number of prompt tokens that one step processes. */
		chunkTokens: z.int().positive(),
		/** Calls that an engine runs concurrently. */
		places: z.int().positive(),
		cacheTokens: z.number().positive(),
		/** Factors by which an engine's processing times are multiplied, assigned to the engines in turn. */
		slowness: z.array(z.number().positive()).min(1),
		bootMs: z.number().positive(),
		/** Price of a reclaimable engine as a fraction of the on-demand price. */
		reclaimablePrice: z.number().positive(),
		/** Minimum number of engines in each availability zone. */
		least: z.int().nonnegative(),
		/** Maximum number of engines in each availability zone. */
		most: z.int().positive(),
		/** On-demand engines that run at the start in each availability zone. */
		first: z.int().positive(),
	}),
	waves: z.strictObject({
		/** Times at which all reclaimable engines of one zone get a termination notice, in ms since calls began to arrive. The waves affect the zones in turn. */
		at: z.array(z.number().positive()),
		noticeMs: z.number().positive(),
		/** Time after a wave during which no zone can start reclaimable engines, in ms. */
		dryMs: z.number().nonnegative(),
	}),
	/** Interval between two load reports of a daemon, in ms. */
	gossipMs: z.number().positive(),
	/** Mean number of calls that arrive at the same time. */
	clump: z.number().min(1),
	/** Time during which calls arrive, in ms. */
	lengthMs: z.number().positive(),
});

export type Customer = z.output<typeof customerSchema>;
export type CallKind = Customer['kinds'][number];
